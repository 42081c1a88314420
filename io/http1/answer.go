package http1

import (
	"net/http"
	"strconv"
	"strings"

	"tarragonwalk/core/fault"
)

const (
	// maxChunkLine bounds the line before a chunk.
	maxChunkLine = 4 << 10
	// maxInterimBytes bounds the interim answers before a final one.
	maxInterimBytes = 64 << 10
	// maxFramingValue bounds the value of a field that says where the body ends, maxFramingName the names of these fields.
	maxFramingValue = 32
	maxFramingName  = len(transferEncoding)

	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
	chunked          = "chunked"
	versionPrefix    = "HTTP/1."
	// statusEnd is the number of bytes of a status line up to the status.
	statusEnd = len("HTTP/1.1 200")
)

// phase is the part of an answer to which the next byte belongs.
type phase int

const (
	phaseStatusLine phase = iota
	// phaseFieldLine is before the first byte of a field line, or of the empty line after them.
	phaseFieldLine
	phaseFieldName
	phaseFieldValue
	// phaseLineEnd is between CR and LF of a status or field line, phaseHeadEnd of the empty line.
	phaseLineEnd
	phaseHeadEnd
	phaseBody
	phaseBodyUntilClose
	phaseChunkLine
	phaseChunkLineEnd
	phaseChunk
	// phaseChunkCR and phaseChunkLF are after the data of a chunk.
	phaseChunkCR
	phaseChunkLF
	// phaseOther is after a change of the protocol.
	phaseOther
)

// ending is what the end of the connection means.
type ending int

const (
	// endBetween is an end while no answer is under way, endOfConnection one that ends a body without a length.
	endBetween ending = iota
	endOfConnection
	endMissing
)

// answer follows the answers on a connection.
type answer struct {
	method string
	phase  phase
	// position is the number of bytes of the status line so far, and start what came of it while it may be that of an interim answer.
	position int
	start    [statusEnd]byte
	status   int
	// oldVersion is set for HTTP/1.0.
	oldVersion bool
	// trailers is set while the field lines are those after the last chunk.
	trailers bool
	// name is the lower-case name of the field, as far as it may be one that says where the body ends, and value its value then.
	name, value []byte
	// length is the Content-Length, empty if there is none, and coding the Transfer-Encoding.
	length, coding string
	// line is the line before a chunk.
	line []byte
	// left is how many bytes of the body or chunk are left.
	left int64
	// interimBytes is the size of the interim answers so far, without the starts of their status lines.
	interimBytes int
}

func invalid(message string) error {
	return fault.New(fault.CodeOutcomeUnknown, "no answer by the grammar of HTTP: "+message)
}

// begin notes the method of the next request.
func (a *answer) begin(method string) {
	a.method = method
}

// end returns what an end of the connection means now.
func (a *answer) end() ending {
	switch {
	case a.phase == phaseBodyUntilClose:
		return endOfConnection
	case a.phase == phaseOther || a.phase == phaseStatusLine && a.position == 0:
		return endBetween
	default:
		return endMissing
	}
}

// held returns how many bytes are held back until it is known whether they belong to an interim answer.
func (a *answer) held() int {
	if a.phase == phaseStatusLine && a.position < statusEnd {
		return a.position
	}

	return 0
}

// filter follows the bytes of p between two positions, before the first of which there is room for those that are held. It moves to the start
// of p what a reader gets, without interim answers, up to the first byte that belongs to no answer, and returns the number of these bytes.
func (a *answer) filter(p []byte, from, to int) (kept int, failure error) {
	for n := from; n < to; {
		if skipped := a.skip(to - n); skipped > 0 {
			kept += copy(p[kept:], p[n:n+skipped])
			n += skipped

			continue
		}
		b, interim := p[n], a.interim()
		if err := a.next(b); err != nil {
			return kept, err
		}
		n++
		if a.phase == phaseStatusLine && 0 < a.position && a.position <= statusEnd {
			a.start[a.position-1] = b
			if a.position == statusEnd && !a.interim() {
				kept += copy(p[kept:], a.start[:])
			}
		} else if !interim {
			p[kept] = b
			kept++
		} else if a.interimBytes++; a.interimBytes > maxInterimBytes {
			return kept, invalid("interim answers without end")
		}
	}

	return kept, nil
}

// interim reports whether the head of an interim answer is under way.
func (a *answer) interim() bool {
	return a.status/100 == 1 && a.status != http.StatusSwitchingProtocols && (a.phase != phaseStatusLine || a.position >= statusEnd)
}

// skip follows bytes of a body that may have any value, at most n of them, and returns their number.
func (a *answer) skip(n int) int {
	switch a.phase {
	case phaseBodyUntilClose, phaseOther:
		return n
	case phaseBody, phaseChunk:
		n = int(min(int64(n), a.left))
		a.left -= int64(n)
		if a.left == 0 && a.phase == phaseBody {
			a.complete()
		} else if a.left == 0 {
			a.phase = phaseChunkCR
		}

		return n
	default:
		return 0
	}
}

// next follows one byte outside of a body.
func (a *answer) next(b byte) error {
	switch a.phase {
	case phaseStatusLine:
		return a.statusLine(b)
	case phaseFieldLine:
		return a.fieldLine(b)
	case phaseFieldName:
		return a.fieldName(b)
	case phaseFieldValue:
		return a.fieldValue(b)
	case phaseChunkLine:
		return a.chunkLine(b)
	case phaseChunkCR:
		return a.expect(b, '\r', phaseChunkLF)
	case phaseChunkLF:
		return a.expect(b, '\n', phaseChunkLine)
	case phaseLineEnd, phaseHeadEnd, phaseChunkLineEnd:
		if b != '\n' {
			return invalid("a CR without an LF")
		}

		return a.lineEnd()
	default:
		return nil
	}
}

func (a *answer) expect(b, want byte, next phase) error {
	if b != want {
		return invalid("a chunk is longer than its size")
	}
	a.phase = next

	return nil
}

// lineEnd is called after a whole line.
func (a *answer) lineEnd() error {
	switch a.phase {
	case phaseHeadEnd:
		return a.headEnd()
	case phaseChunkLineEnd:
		return a.chunkSize()
	default:
		if err := a.framingField(); err != nil {
			return err
		}
		a.phase = phaseFieldLine

		return nil
	}
}

// statusLine follows a byte of "HTTP/1.1 200 OK".
func (a *answer) statusLine(b byte) error {
	at := a.position - len(versionPrefix)
	a.position++
	valid := true
	switch {
	case at < 0:
		valid = b == versionPrefix[at+len(versionPrefix)]
	case at == 0:
		valid = isDigit(b)
		a.oldVersion = b == '0'
	case at == 1 || at == 5:
		valid = b == ' '
	case at == 2:
		valid = isDigit(b) && b != '0'
		a.status = int(b - '0')
	case at < 5:
		valid = isDigit(b)
		a.status = 10*a.status + int(b-'0')
	case b == '\r':
		a.phase = phaseLineEnd
	default:
		valid = isText(b)
	}
	if !valid {
		return invalid("the status line has byte " + strconv.QuoteRune(rune(b)) + " at position " + strconv.Itoa(a.position-1))
	}

	return nil
}

// fieldLine follows the first byte of a field line, or of the empty line.
func (a *answer) fieldLine(b byte) error {
	a.name, a.value = a.name[:0], a.value[:0]
	if b == '\r' {
		a.phase = phaseHeadEnd

		return nil
	}
	if b == ':' {
		return invalid("a field without a name")
	}
	a.phase = phaseFieldName

	return a.fieldName(b)
}

func (a *answer) fieldName(b byte) error {
	switch {
	case b == ':':
		a.phase = phaseFieldValue
	case !isToken(b):
		return invalid("the name of a field has byte " + strconv.QuoteRune(rune(b)))
	case len(a.name) <= maxFramingName:
		a.name = append(a.name, lower(b))
	}

	return nil
}

func (a *answer) fieldValue(b byte) error {
	switch {
	case b == '\r':
		a.phase = phaseLineEnd
	case !isText(b):
		return invalid("the value of a field has byte " + strconv.QuoteRune(rune(b)))
	case len(a.value) <= maxFramingValue && isFraming(a.name):
		a.value = append(a.value, b)
	}

	return nil
}

func isFraming(name []byte) bool {
	return string(name) == contentLength || string(name) == transferEncoding
}

// framingField notes a whole field line if it says where the body ends.
func (a *answer) framingField() error {
	if a.trailers || !isFraming(a.name) {
		return nil
	}
	value := strings.Trim(string(a.value), " \t")
	if string(a.name) == transferEncoding {
		if a.coding != "" || !strings.EqualFold(value, chunked) {
			return invalid("an unknown transfer coding")
		}
		a.coding = chunked

		return nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil || len(a.value) > maxFramingValue || a.length != "" && a.length != value {
		return invalid("a Content-Length that is no number, or two of them")
	}
	a.length, a.left = value, int64(n) //nolint:gosec // of 63 bits

	return nil
}

// headEnd is called after the empty line that ends a head, or the trailers.
func (a *answer) headEnd() error {
	switch {
	case a.trailers:
		a.complete()
	case a.coding != "" && (a.length != "" || a.oldVersion):
		return invalid("a transfer coding beside a length or in HTTP/1.0")
	case a.status == http.StatusSwitchingProtocols:
		a.phase = phaseOther
	case a.interim():
		a.restart()
	case a.method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		a.complete()
	case a.coding != "":
		a.phase = phaseChunkLine
	case a.length == "":
		a.phase = phaseBodyUntilClose
	case a.left == 0:
		a.complete()
	default:
		a.phase = phaseBody
	}

	return nil
}

// complete is called after a whole answer.
func (a *answer) complete() {
	a.restart()
	a.method, a.interimBytes = "", 0
}

// restart prepares for the next head.
func (a *answer) restart() {
	*a = answer{
		method: a.method,
		name:   a.name[:0],
		value:  a.value[:0],
		line:   a.line[:0],

		interimBytes: a.interimBytes,
	}
}

func (a *answer) chunkLine(b byte) error {
	switch {
	case b == '\r':
		a.phase = phaseChunkLineEnd
	case !isText(b) || len(a.line) >= maxChunkLine:
		return invalid("the line before a chunk has byte " + strconv.QuoteRune(rune(b)))
	default:
		a.line = append(a.line, b)
	}

	return nil
}

// chunkSize is called after the whole line before a chunk.
func (a *answer) chunkSize() error {
	size, ok := parseChunkLine(string(a.line))
	a.line = a.line[:0]
	switch {
	case !ok:
		return invalid("a chunk without a size")
	case size == 0:
		a.trailers, a.phase = true, phaseFieldLine
	default:
		a.left, a.phase = size, phaseChunk
	}

	return nil
}
