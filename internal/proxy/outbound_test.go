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

// TestEncodeRejectsInjectedHeaderLines: a host or target that would end its line is not forwarded.
func TestEncodeRejectsInjectedHeaderLines(t *testing.T) {
	for _, o := range []*outbound{
		{method: "GET", url: &url.URL{Path: "/x"}, host: "a\r\nX-Request-Id: other"},
		{method: "GET", url: &url.URL{Path: "/x"}, host: ""},
		{method: "GET", url: &url.URL{Path: "/x", RawQuery: "a b\r\nX: y"}, host: "a"},
	} {
		if b, err := o.encode(time.Second); err == nil {
			t.Errorf("sent %q", b)
		}
	}
}

// TestUploadOfStatedLengthIsNotReadPastItsEnd: the server has the last byte, and may answer before the proxy hears that there are no more.
func TestUploadOfStatedLengthIsNotReadPastItsEnd(t *testing.T) {
	read, write := io.Pipe()
	go func() {
		besteffort.Output(io.WriteString(write, "cdef"))
		besteffort.Close(read) // as the answer's coming does
	}()
	o := outbound{method: "POST", url: &url.URL{Path: "/api"}, host: "app.svc", body: []byte("ab"), header: http.Header{},
		upload: &upload{length: 6, pipe: read, clientGone: func() bool { return false }}}
	var sent strings.Builder
	if err := o.streamingRequest(context.Background(), time.Second).Write(&sent); err != nil || !strings.HasSuffix(sent.String(), "\r\n\r\nabcdef") {
		t.Errorf("%q, %v", sent.String(), err)
	}
}
