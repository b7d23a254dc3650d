package proxy

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/simwire"
)

const (
	maxBufferedBody     = 64 << 10 // bytes of a request or response body that is buffered completely
	maxResponseHead     = 16 << 10 // bytes
	maxInterimResponses = 8        // 1xx responses ahead of the final one
)

// receiveOne reads one response to its end, or the beginning of a long one. clean reports whether the
// connection can carry another request afterwards.
func (c *conn) receiveOne(ctx context.Context, method string) (res result, clean bool, err error) {
	c.budget.N = maxResponseHead + maxBufferedBody
	var resp *http.Response
	for i := 0; ; i++ {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return res, false, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i == maxInterimResponses || resp.StatusCode == http.StatusSwitchingProtocols {
			return res, false, fmt.Errorf("read response: unexpected status %s", resp.Status)
		}
	}
	res.loadReport = parseLoad(resp.Header.Get("X-Load"))
	if resp.ContentLength > maxStreamedBody {
		return res, false, errTooLong
	}
	c.budget.N = math.MaxInt64 // the size of the body is bounded separately
	body, long, err := readResponseBody(ctx, resp, c.pool.memory.reserveOnce(&c.releaseMemory))
	if err != nil {
		return res, false, err
	}
	if long && resp.StatusCode == http.StatusOK {
		res.outcome, res.header = balancer.OK, resp.Header
		res.stream = &responseStream{
			length:    resp.ContentLength,
			start:     body,
			remaining: resp.Body,
			conn:      c,
			ended:     make(chan error, 1),
		}
		return res, !resp.Close, nil
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		res.outcome, res.header, res.body = balancer.OK, resp.Header, body
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1":
		res.outcome = balancer.Rejected
	default:
		res.outcome = balancer.ServerError
	}
	return res, !resp.Close && !long && c.reader.Buffered() == 0, nil
}

// readResponseBody reads a response's body. long reports that the body has more than maxBufferedBody bytes,
// or that it has no stated length and takes longer than maxBufferingTime. Of a long body only the beginning
// has been read, if any.
func readResponseBody(
	ctx context.Context,
	resp *http.Response,
	reserveMemory func(context.Context) error,
) (body []byte, long bool, err error) {
	if resp.ContentLength > maxSmallBody {
		if err := reserveMemory(ctx); err != nil {
			return nil, false, err
		}
	}
	if resp.ContentLength > maxBufferedBody {
		return nil, true, nil
	}
	if resp.ContentLength >= 0 {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		return body, false, err
	}
	began := time.Now()
	for buf := make([]byte, 4<<10); ; {
		n, err := resp.Body.Read(buf)
		if body = append(body, buf[:n]...); err == io.EOF {
			return body, false, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) > maxSmallBody {
			if err := reserveMemory(ctx); err != nil {
				return nil, false, err
			}
		}
		if len(body) > maxBufferedBody || time.Since(began) > maxBufferingTime {
			return body, true, nil
		}
	}
}

// parseLoad parses a load report. A report that is malformed in any part is ignored completely, because an
// incomplete report is worth less than the balancer's count of requests in flight, which the report would
// replace.
func parseLoad(s string) *balancer.LoadReport {
	if s == "" {
		return nil
	}
	var r balancer.LoadReport
	known := false
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil
		}
		known = simwire.SetReportField(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}
