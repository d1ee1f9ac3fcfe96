package tomlcheck

import "strings"

// maxNesting bounds the nesting of values and of keys. The parser's time grows with its square: a text of 1 MiB of
// opening braces took more than 60 s.
const maxNesting = 64

// nesting reports whether values in brackets or braces or the parts of a key are nested more than maxNesting deep,
// and on which line.
func nesting(text string) (line int, tooDeep bool) {
	line = 1
	depth, dots := 0, 0
	for i := 0; i < len(text); {
		switch text[i] {
		case '\n':
			line, dots = line+1, 0
		case '=', ',':
			dots = 0
		case '.':
			dots++
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case '#':
			i += lengthOrRest(strings.IndexByte(text[i:], '\n'), text[i:])
			continue
		case '"', '\'':
			length := stringLength(text[i:])
			line += strings.Count(text[i:i+length], "\n")
			i += length
			continue
		}
		if depth > maxNesting || dots > maxNesting {
			return line, true
		}
		i++
	}
	return line, false
}

// stringLength returns the length of the string that text begins with. A string that does not end is a syntax error
// for the parser.
func stringLength(text string) int {
	quote := text[:1]
	if multiline := strings.Repeat(quote, 3); strings.HasPrefix(text, multiline) {
		for i := 3; i < len(text); i++ {
			switch {
			case text[i] == '\\' && quote == `"`:
				i++
			case strings.HasPrefix(text[i:], multiline):
				// Up to two quotes may stand before the closing ones.
				for i += 3; i < len(text) && text[i] == quote[0]; i++ {
				}
				return i
			}
		}
		return len(text)
	}
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '\n':
			return i
		case text[i] == '\\' && quote == `"`:
			i++
		case text[i] == quote[0]:
			return i + 1
		}
	}
	return len(text)
}

// lengthOrRest returns an index, or the length of the text if it is negative.
func lengthOrRest(index int, text string) int {
	if index < 0 {
		return len(text)
	}
	return index
}
