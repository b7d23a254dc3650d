package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"wrenspread/internal/proxy/memory"
)

// deadlineHeader names the header with the seconds that remain for the response.
const deadlineHeader = "X-Deadline"

// outbound is a client's request as it is sent to a backend.
type outbound struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end headers only
	body   []byte
	upload *upload             // the rest of the body; nil if body is complete
	memory *memory.Reservation // of the client; nil: without a budget
	// deadline is that of the request; the zero time if there is none, or if the upload has it.
	deadline time.Time
}

// responseDeadline returns the deadline of the request, or the zero time if there is none. The response to an
// upload may come before the proxy has noted when the last byte came; it can't have come later than now.
func (o *outbound) responseDeadline() time.Time {
	if o.upload == nil {
		return o.deadline
	}
	return time.Now().Add(o.upload.remaining())
}

// encode returns the complete request as bytes, so that a single write sends it, and the result of that write
// tells whether the last byte was written. wait is the time that remains for the response.
func (o *outbound) encode(wait time.Duration) ([]byte, error) {
	uri := o.url.RequestURI()
	if o.host == "" || strings.ContainsFunc(o.host+uri, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return nil, errors.New("encode request: invalid character in host or target, or no host")
	}
	b := make([]byte, 0, 512+len(o.body))
	line := func(parts ...string) {
		for _, p := range parts {
			b = append(b, p...)
		}
		b = append(b, "\r\n"...)
	}
	line(o.method, " ", uri, " HTTP/1.1")
	line("Host: ", o.host)
	if len(o.body) > 0 || o.method != http.MethodGet {
		line("Content-Length: ", strconv.Itoa(len(o.body)))
	}
	names := make([]string, 0, 16)
	for name := range o.header {
		if name != deadlineHeader && name != "Host" {
			names = append(names, name)
		}
	}
	names = append(names, deadlineHeader)
	slices.Sort(names) // so that equal requests give equal bytes
	for _, name := range names {
		if name == deadlineHeader {
			line(name, ": ", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
			continue
		}
		for _, v := range o.header[name] {
			line(name, ": ", v)
		}
	}
	line()
	return append(b, o.body...), nil
}

// streamingRequest returns the request of an upload, whose body is sent while it comes from the client, until
// ctx ends. wait is the time that remains for the response.
func (o *outbound) streamingRequest(ctx context.Context, wait time.Duration) *http.Request {
	body := io.MultiReader(
		bytes.NewReader(o.body),
		&attemptUpload{ctx, o.upload, o.upload.length - int64(len(o.body))},
	)
	if o.upload.length >= 0 {
		// Request.Write reads on past a stated length. By then the response may have come, and the upload may
		// be closed.
		body = io.LimitReader(body, o.upload.length)
	}
	r := &http.Request{Method: o.method, URL: o.url, Host: o.host, Header: o.header.Clone(),
		Body: io.NopCloser(body), ContentLength: o.upload.length}
	r.Header.Set(deadlineHeader, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return r
}
