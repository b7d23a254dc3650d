package proxy

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"wrenspread/balancer"
	"wrenspread/internal/simwire"
)

const (
	maxBufferedBody     = 64 << 10 // bytes of a request or response body that is buffered completely
	maxResponseHead     = 16 << 10 // bytes
	maxInterimResponses = 8        // 1xx responses ahead of the final one
)

// errTooManyInterim means that a response has more than maxInterimResponses interim ones ahead of it.
var errTooManyInterim = errors.New("read response: too many interim responses")

// readHead reads the head of a final response, and discards interim ones ahead of it.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.budget.N = maxResponseHead + maxBufferedBody
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("read response: unexpected status %s", resp.Status)
		}
	}
	return nil, errTooManyInterim
}

// receiveOne reads one response to its end, or the beginning of one that has to be streamed. clean reports
// whether the connection can carry another request afterwards.
func (c *conn) receiveOne(ctx context.Context, o *outbound) (res result, clean bool, err error) {
	resp, err := c.readHead(o.method)
	if err != nil {
		return res, false, err
	}
	res.loadReport = parseLoad(resp.Header.Get("X-Load"))
	if resp.ContentLength > maxStreamedBody {
		return res, false, errTooLong
	}
	c.budget.N = math.MaxInt64 // the size of the body is bounded separately
	switch outcome := outcomeOf(resp); outcome {
	case balancer.Rejected:
		if err := discardRejection(resp); err != nil {
			return res, false, err
		}
		res.outcome = outcome
		return res, c.isReusableAfter(resp), nil
	case balancer.ServerError:
		complete, err := discardFailure(resp)
		if err != nil {
			return res, false, err
		}
		res.outcome = outcome
		return res, complete && c.isReusableAfter(resp), nil
	}
	body, err := c.readResponseBody(ctx, resp, o.responseDeadline())
	if err != nil {
		return res, false, err
	}
	res.outcome, res.header = balancer.OK, resp.Header
	if body.isComplete() {
		res.body = body.start
		return res, c.isReusableAfter(resp), nil
	}
	res.stream = &responseStream{
		length:    resp.ContentLength,
		start:     body.start,
		remaining: body.remaining,
		conn:      c,
		ended:     make(chan error, 1),
	}
	return res, !resp.Close, nil
}

// outcomeOf returns the outcome of an attempt whose response has been read completely.
func outcomeOf(resp *http.Response) balancer.Outcome {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Not-Run") == "1" {
			return balancer.Rejected
		}
	}
	return balancer.ServerError
}

// isReusableAfter reports whether the connection can carry another request after a response that has been
// read to its end.
func (c *conn) isReusableAfter(resp *http.Response) bool {
	return !resp.Close && c.reader.Buffered() == 0
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
