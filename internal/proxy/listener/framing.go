package listener

import (
	"bytes"
	"errors"
	"strconv"

	"wrenspread/internal/proxy/memory"
)

// MaxHead is the maximum number of bytes of a request's head. The HTTP server must have the same limit.
const MaxHead = 16 << 10

// maxKeptLine is the largest buffer, in bytes, that is kept for the lines of the next head.
const maxKeptLine = 1 << 10

// errFraming makes the HTTP server answer 400 and close the connection.
var errFraming = errors.New("read request: ambiguous body length")

// framing tracks the request heads that one client sends, before the HTTP server gets them. Some heads can be
// read in two ways as to where the body ends. The server would silently choose one way, and might then take
// bytes of the body for a request that the client never sent (request smuggling). Such a head is not passed
// on.
type framing struct {
	headLine        []byte   // the part of the current head line that has come
	hasRequestLine  bool     // the request line of the current head is complete
	isOldVersion    bool     // the request line does not name HTTP/1.1
	contentLengths  []string // values of the Content-Length headers
	transferCodings int      // number of Transfer-Encoding headers
	bodyRemaining   int64    // bytes of the current body that are still to come
	chunked         bool     // only the HTTP server knows where this request ends; bytes behind it aren't served
	requestEnded    bool     // the HTTP server has been given the last byte of a request
	headBytes       int      // bytes of the current head that have come, without line feeds
	headFields      int      // complete header lines of the current head
	err             error    // why no further byte is passed on
}

// isBetweenRequests reports whether the next byte begins a request.
func (f *framing) isBetweenRequests() bool {
	return !f.hasRequestLine && len(f.headLine) == 0 && f.bodyRemaining == 0 && !f.chunked
}

// headEnded reports whether the head of the current request is complete.
func (f *framing) headEnded() bool { return !f.hasRequestLine && len(f.headLine) == 0 }

// begin starts to count the next head.
func (f *framing) begin() {
	f.headBytes = 0
	f.headFields = 0
}

// headCost returns the memory that the current head takes, as far as it has come.
func (f *framing) headCost() int64 { return memory.Head(f.headBytes, f.headFields) }

// follow tracks the bytes that were read, and returns how many of them may be passed on: all, or those up to
// the end of a request. If a head line is rejected, it sets f.err, and the count is up to the end of that
// line without its line feed.
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

// appendLine adds bytes to the current head line, and cuts the line at MaxHead bytes: the HTTP server rejects
// a longer head.
func (f *framing) appendLine(p []byte) {
	f.headBytes += len(p)
	f.headLine = append(f.headLine, p[:min(len(p), MaxHead-len(f.headLine))]...)
}

// endLine processes a complete head line, and reports whether the head is complete.
func (f *framing) endLine() (complete bool, err error) {
	line := bytes.TrimSuffix(f.headLine, []byte("\r"))
	f.headLine = f.headLine[:0] // line stays valid until the next appendLine
	switch {
	case !f.hasRequestLine && len(line) == 0: // an empty line is allowed ahead of a request
	case !f.hasRequestLine:
		f.hasRequestLine, f.isOldVersion = true, !bytes.HasSuffix(line, []byte(" HTTP/1.1"))
	case len(line) == 0:
		return true, f.endHead()
	case line[0] == ' ' || line[0] == '\t': // a folded line hides a header from some parsers
		return false, errFraming
	default:
		f.headFields++
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

// endHead determines the length of the body. It rejects a Transfer-Encoding header in an HTTP/1.0 request:
// that version has no transfer codings, and the HTTP server would ignore the header.
func (f *framing) endHead() error {
	switch {
	case f.transferCodings > 0 && (f.transferCodings > 1 || len(f.contentLengths) > 0 || f.isOldVersion),
		len(f.contentLengths) > 1:
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
	if cap(f.headLine) > maxKeptLine {
		f.headLine = nil
	}
	return nil
}
