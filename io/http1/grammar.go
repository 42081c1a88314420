package http1

import (
	"strconv"
	"strings"
)

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether a byte may be in the value of a field or in a reason phrase.
func isText(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// isToken reports whether a byte may be in the name of a field.
func isToken(b byte) bool {
	return isDigit(b) || 'a' <= lower(b) && lower(b) <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}

	return b
}

// parseChunkLine returns the size in a line before a chunk, false if the line is invalid.
func parseChunkLine(line string) (size int64, ok bool) {
	digits := line
	if n := strings.IndexAny(line, " \t;"); n >= 0 {
		digits = line[:n]
	}
	size, err := strconv.ParseInt(digits, 16, 64)
	if err != nil || !isAlphanumeric(digits[0]) {
		return 0, false
	}

	return size, validExtensions(line[len(digits):])
}

func isAlphanumeric(b byte) bool { return isDigit(b) || 'a' <= lower(b) && lower(b) <= 'z' }

// validExtensions reports whether a text is a list of chunk extensions such as `;a;b=c;d="e"`, which may be empty.
func validExtensions(s string) bool {
	for s != "" {
		s = strings.TrimLeft(s, " \t")
		if !strings.HasPrefix(s, ";") {
			return false
		}
		var ok bool
		if s, ok = cutToken(strings.TrimLeft(s[1:], " \t")); !ok {
			return false
		}
		value, has := strings.CutPrefix(strings.TrimLeft(s, " \t"), "=")
		if !has {
			continue
		}
		if s, ok = cutValue(strings.TrimLeft(value, " \t")); !ok {
			return false
		}
	}

	return true
}

// cutToken returns what follows the token at the start of a text, false if there is none.
func cutToken(s string) (rest string, ok bool) {
	n := 0
	for n < len(s) && isToken(s[n]) {
		n++
	}

	return s[n:], n > 0
}

// cutValue returns what follows the token or quoted string at the start of a text, false if there is none.
func cutValue(s string) (rest string, ok bool) {
	if !strings.HasPrefix(s, `"`) {
		return cutToken(s)
	}
	for n := 1; n < len(s); n++ {
		switch s[n] {
		case '\\':
			n++
		case '"':
			return s[n+1:], true
		}
	}

	return "", false
}
