package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// TestOnlyACompleteRejectionProvesThatNothingRan guards against repeating a request that may have run because
// a rejection with a long body began, but never ended.
func TestOnlyACompleteRejectionProvesThatNothingRan(t *testing.T) {
	const head = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
	const size = 3 * maxBufferedBody
	body := strings.Repeat("x", size)
	for form, encoded := range map[string]struct{ begin, end string }{
		"length": {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size+1) + body, "x"},
		"chunks": {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, size) + body, "\r\n0\r\n\r\n"},
		"close":  {head + "Connection: close\r\n\r\n" + body, ""},
	} {
		for ending, want := range map[string]balancer.Outcome{
			"complete": balancer.Rejected,
			"reset":    balancer.ConnectionReset,
			"hanging":  balancer.TimedOut,
		} {
			t.Run(form+", "+ending, func(t *testing.T) {
				checkOutcome(t, want, func(c net.Conn, r *bufio.Reader) {
					besteffort.Output(io.WriteString(c, encoded.begin))
					switch ending {
					case "complete":
						besteffort.Output(io.WriteString(c, encoded.end))
					case "reset":
						besteffort.SocketOption(c.(*net.TCPConn).SetLinger(0))
					case "hanging":
						_, _ = r.ReadByte()
					}
				})
			})
		}
	}
}
