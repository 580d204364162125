package standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer, so that the stand-ins need no library. */
public final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    public static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blanks();
            while (text.charAt(at) != '}') {
                String key = string();
                blanks();
                at++;
                map.put(key, value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blanks();
            while (text.charAt(at) != ']') {
                list.add(value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.contains(".") || word.contains("e") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
        };
    }

    private void blanks() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    private String string() {
        at++;
        int plain = at;
        while (text.charAt(plain) != '"' && text.charAt(plain) != '\\') {
            plain++;
        }
        if (text.charAt(plain) == '"') {
            String result = text.substring(at, plain);
            at = plain + 1;
            return result;
        }
        StringBuilder out = new StringBuilder();
        char c;
        while ((c = text.charAt(at++)) != '"') {
            if (c != '\\') {
                out.append(c);
                continue;
            }
            c = text.charAt(at++);
            switch (c) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(c);
            }
        }
        return out.toString();
    }

    public static String quote(String value) {
        StringBuilder out = new StringBuilder("\"");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }
}
