package listener

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHead is the most bytes of a request's head; the HTTP server must have the same.
const MaxHead = 16 << 10

// errFraming makes the HTTP server answer 400 and close.
var errFraming = errors.New("the request's length is ambiguous")

// framing follows the heads that one client sends, ahead of the HTTP server. Where a head allows two opinions
// on where its body ends, the server settles on one silently, and what the client holds to be body may be
// taken for a request that it never sent. Such a head is not let through.
type framing struct {
	headLine        []byte // of a head, so far
	hasRequestLine  bool   // the head's first line is over
	isOldVersion    bool   // that line names no HTTP/1.1
	contentLengths  []string
	transferCodings int
	bodyRemaining   int64 // bytes still to come
	chunked         bool  // this one ends where the server says; what follows is never served
	requestEnded    bool  // a request has, of which the server has been given the last byte
	err             error
}

// isBetweenRequests tells that the next byte begins a request.
func (f *framing) isBetweenRequests() bool {
	return !f.hasRequestLine && len(f.headLine) == 0 && f.bodyRemaining == 0 && !f.chunked
}

// follow follows what was read, and tells how much of it may go on: up to the end
// of a request, or all but the end of a head that leaves f.err.
func (f *framing) follow(p []byte) int {
	for i := 0; i < len(p) && !f.chunked; {
		if f.bodyRemaining > 0 {
			n := int(min(f.bodyRemaining, int64(len(p)-i)))
			f.bodyRemaining -= int64(n)
			if i += n; f.bodyRemaining == 0 {
				f.requestEnded = true
				return i
			}
			continue
		}
		end := bytes.IndexByte(p[i:], '\n')
		if end < 0 {
			f.appendLine(p[i:])
			break
		}
		f.appendLine(p[i : i+end])
		complete, err := f.endLine()
		if err != nil {
			f.err = err
			return i + end
		}
		if i += end + 1; complete && f.bodyRemaining == 0 && !f.chunked {
			f.requestEnded = true
			return i
		}
	}
	return len(p)
}

// appendLine holds a line to the size of a head: the server refuses a longer one.
func (f *framing) appendLine(p []byte) {
	f.headLine = append(f.headLine, p[:min(len(p), MaxHead-len(f.headLine))]...)
}

// endLine reports whether the head is complete.
func (f *framing) endLine() (complete bool, err error) {
	line := bytes.TrimSuffix(f.headLine, []byte("\r"))
	f.headLine = f.headLine[:0] // its bytes are as they were until the next line comes
	switch {
	case !f.hasRequestLine && len(line) == 0: // allowed ahead of a request
	case !f.hasRequestLine:
		f.hasRequestLine, f.isOldVersion = true, !bytes.HasSuffix(line, []byte(" HTTP/1.1"))
	case len(line) == 0:
		return true, f.endHead()
	case line[0] == ' ' || line[0] == '\t': // a folded line hides a header from some readers
		return false, errFraming
	default:
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.contentLengths = append(f.contentLengths, string(bytes.Trim(value, " \t")))
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.transferCodings++
		}
	}
	return false, nil
}

// endHead decides how long the body is. An HTTP/1.0 request knows no coding,
// and the server would skip the header.
func (f *framing) endHead() error {
	switch {
	case f.transferCodings > 0 && (f.transferCodings > 1 || len(f.contentLengths) > 0 || f.isOldVersion), len(f.contentLengths) > 1:
		return errFraming
	case f.transferCodings > 0:
		f.chunked = true
	case len(f.contentLengths) == 1:
		n, err := strconv.ParseUint(f.contentLengths[0], 10, 63)
		if err != nil {
			return errFraming
		}
		f.bodyRemaining = int64(n)
	}
	f.hasRequestLine, f.contentLengths = false, f.contentLengths[:0]
	return nil
}
