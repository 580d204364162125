package fuchsiareview2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, texts, numbers and booleans. */
final class Js {

    private final String text;
    private int at;

    private Js(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Js(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return value == null ? Map.of() : (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String str(Object value) {
        return value == null ? "" : value.toString();
    }

    static long num(Object value) {
        return value == null ? 0 : ((Number) value).longValue();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case null -> out.append("null");
            case Map<?, ?> map -> {
                String comma = "{";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(comma);
                    write(entry.getKey().toString(), out);
                    out.append(':');
                    write(entry.getValue(), out);
                    comma = ",";
                }
                out.append(map.isEmpty() ? "{}" : "}");
            }
            case List<?> list -> {
                String comma = "[";
                for (Object entry : list) {
                    out.append(comma);
                    write(entry, out);
                    comma = ",";
                }
                out.append(list.isEmpty() ? "[]" : "]");
            }
            case String string -> writeText(string, out);
            default -> out.append(value);
        }
    }

    private static void writeText(String string, StringBuilder out) {
        out.append('"');
        for (int i = 0; i < string.length(); i++) {
            char c = string.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        return switch (next()) {
            case '{' -> object();
            case '[' -> array();
            case '"' -> string();
            default -> literal();
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            if (next() == ',') {
                at++;
                next();
            }
            String name = string();
            next();
            at++;
            map.put(name, value());
        }
        at++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
            if (next() == ',') {
                at++;
            }
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private Object literal() {
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> {
                if (word.contains(".") || word.contains("e") || word.contains("E")) {
                    yield Double.parseDouble(word);
                }
                yield Long.parseLong(word);
            }
        };
    }
}
