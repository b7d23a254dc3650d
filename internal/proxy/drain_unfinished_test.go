package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestUnfinishedRequestIsAnsweredBeforeSIGKILL guards against drains that drop what they have read a part of.
func TestUnfinishedRequestIsAnsweredBeforeSIGKILL(t *testing.T) {
	upload := strings.Replace(completePost, "Content-Length: 4", "Content-Length: 400000", 1) + strings.Repeat("u", 200000)
	for name, text := range map[string]string{
		"head": completeGet[:40], "body": completePost[:len(completePost)-2], "upload": upload,
		"chunked": strings.Replace(completePost, "Content-Length: 4\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n9\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := echoServer(t)
			srv := startProxyWith(t, func(srv *Server) { srv.frontend.finishTime = 100 * time.Millisecond }, server)
			c := srv.dialAccepted(t)
			besteffort.Output(io.WriteString(c, text))
			waitUntil(t, "the beginning to be read", func() bool { return srv.listener.bytesRead.Load() >= int64(len(text)) })
			srv.stop()
			terminated := time.Now()
			srv.endLateAccepting()
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil || resp.StatusCode < 400 || !resp.Close {
				t.Fatalf("response %+v, %v, want an error and a close", resp, err)
			}
			if took := time.Since(terminated); took >= drainAcceptTime+2*srv.frontend.finishTime {
				t.Errorf("the response comes after %v", took)
			}
			besteffort.Close(c)
			srv.waitForCleanEnd(t)
		})
	}
}

// TestLateRequestIsAnsweredThoughTheProcessIsHeldUp guards against last answers that SIGKILL prevents.
func TestLateRequestIsAnsweredThoughTheProcessIsHeldUp(t *testing.T) {
	const finishTime, killSlack, holdTime = 500 * time.Millisecond, 700 * time.Millisecond, 150 * time.Millisecond
	server, _, _ := silentServer(t)
	srv := startProxyWith(t, func(srv *Server) { srv.frontend.finishTime = finishTime }, server)
	c := srv.dialAccepted(t)
	terminated := time.Now()
	srv.stop()
	waitUntil(t, "the drain to begin", srv.frontend.draining.Load)
	srv.endLateAccepting()
	waitUntil(t, "the drain deadline to be set", func() bool { return srv.frontend.drainDeadline.Load() != nil })
	besteffort.Output(io.WriteString(c, completeGet))
	if s := c.readStatus(t); s < 500 || time.Since(terminated) > finishTime+killSlack-holdTime {
		t.Errorf("response %d after %v", s, time.Since(terminated))
	}
	srv.waitForCleanEnd(t)
}
