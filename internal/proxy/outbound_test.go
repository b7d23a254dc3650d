package proxy

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestEncodePreservesTheRequest checks that target, headers and body are sent unchanged, except that
// X-Deadline contains the remaining time.
func TestEncodePreservesTheRequest(t *testing.T) {
	u := &url.URL{Path: "/api/a/b", RawPath: "/api/a%2Fb", RawQuery: "x=1&y=%20"}
	o := &outbound{method: "POST", url: u, host: "app.svc", body: []byte("body"),
		header: http.Header{"X-Request-Id": {"q"}, "Idempotency-Key": {"k"}, "X-Deadline": {"9"}}}
	raw, err := o.encode(1500 * time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	want := "POST /api/a%2Fb?x=1&y=%20 HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 4\r\n" +
		"Idempotency-Key: k\r\nX-Deadline: 1.500\r\nX-Request-Id: q\r\n\r\nbody"
	if string(raw) != want {
		t.Errorf("sent %q, want %q", raw, want)
	}
}

// TestEncodeRejectsInjectedHeaderLines checks that a request is not forwarded if its host is empty, or if its
// host or target contains a line end.
func TestEncodeRejectsInjectedHeaderLines(t *testing.T) {
	for _, o := range []*outbound{
		{method: "GET", url: &url.URL{Path: "/x"}, host: "a\r\nX-Request-Id: other"},
		{method: "GET", url: &url.URL{Path: "/x"}, host: ""},
		{method: "GET", url: &url.URL{Path: "/x", RawQuery: "a b\r\nX: y"}, host: "a"},
	} {
		if b, err := o.encode(time.Second); err == nil {
			t.Errorf("encoded as %q, want an error", b)
		}
	}
}

// TestUploadOfStatedLengthIsNotReadPastItsEnd guards against a read after the last byte of an upload. When the
// backend has received that byte it may respond, which closes the upload before the proxy has read its end. Such
// a read would then fail.
func TestUploadOfStatedLengthIsNotReadPastItsEnd(t *testing.T) {
	read, write := io.Pipe()
	go func() {
		besteffort.Output(io.WriteString(write, "cdef"))
		besteffort.Close(read) // as the arrival of the response does
	}()
	o := outbound{method: "POST", url: &url.URL{Path: "/api"}, host: "app.svc", body: []byte("ab"), header: http.Header{},
		upload: &upload{length: 6, pipe: read, clientGone: func() bool { return false }}}
	var sent strings.Builder
	if err := o.streamingRequest(context.Background(), time.Second).Write(&sent); err != nil || !strings.HasSuffix(sent.String(), "\r\n\r\nabcdef") {
		t.Errorf("sent %q, %v, want the body abcdef", sent.String(), err)
	}
}
