package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestPartOfAChunkIsForwardedWithoutDelay guards against holding back the bytes of a chunk that has not come
// completely, while its backend pauses.
func TestPartOfAChunkIsForwardedWithoutDelay(t *testing.T) {
	for _, part := range []int{1, 100, copyBufSize - 1, maxBufferedBody + 1234} { // bytes of the second chunk
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			const chunk = 2 * maxBufferedBody
			begun, resume := make(chan struct{}), make(chan struct{})
			srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					besteffort.Output(fmt.Fprintf(c, "%s%x\r\n%s\r\n", chunkedHead, chunk, pattern(chunk)))
					<-begun
					besteffort.Output(fmt.Fprintf(c, "%x\r\n%s", chunk, pattern(chunk)[:part]))
					<-resume
					besteffort.Output(fmt.Fprintf(c, "%s\r\n0\r\n\r\n", pattern(chunk)[part:]))
				}
			}))
			c := srv.dial(t)
			c.sendGet(t, "saldo", "q", "20")
			resp := c.readBegun(t)
			body := make([]byte, 2*chunk)
			read, err := io.ReadFull(resp.Body, body[:chunk])
			if err != nil {
				t.Fatalf("first chunk: %d bytes, %v", read, err)
			}
			close(begun)
			if read, err = io.ReadFull(resp.Body, body[chunk:chunk+part]); err != nil {
				t.Fatalf("part of the second chunk: %d bytes, %v", read, err)
			}
			close(resume)
			if _, err := io.ReadFull(resp.Body, body[chunk+part:]); err != nil {
				t.Fatal(err)
			}
			if want := append(pattern(chunk), pattern(chunk)...); digestOf(body) != digestOf(want) {
				t.Error("the body has changed")
			}
		})
	}
}
