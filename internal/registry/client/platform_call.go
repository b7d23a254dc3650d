package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// maxPlatformResponseBytes bounds the size of a list from the platform. A list of a thousand endpoints takes
// a twentieth of it.
const maxPlatformResponseBytes = 4 << 20

var (
	errRepeatedRequest  = errors.New("discovery: the connection broke, the request is not sent again")
	errUnexpectedStatus = errors.New("discovery responded with status")
	errOlderList        = errors.New("discovery's list is older than the known list")
)

// call makes one request and passes the list in the response to onList. It requests the complete list if
// needsComplete is set, and otherwise the changes since the known version. After a failure no existing
// connection is used again, because the cause may affect all connections.
func (d *PlatformFollower) call(ctx context.Context, hold time.Duration) error {
	if d.runningTask.stopping.Load() {
		d.runningTask.stop()
		return ctx.Err()
	}
	query := ""
	if !d.needsComplete {
		query = fmt.Sprintf("?from=%d&hold_ms=%d", d.index, hold.Milliseconds())
	}
	list, err := d.get(ctx, query, hold)
	if err == nil {
		err = isCompleteRead(list, d.needsComplete)
	}
	if err == nil && !d.needsComplete && list.Index < d.index {
		// The older list could mark a draining endpoint as ready again, so the complete list is requested.
		d.needsComplete, err = true, errOlderList
	}
	if err != nil {
		d.lastCallFailed = d.lastCallFailed || ctx.Err() == nil
		d.client.CloseIdleConnections()
		return err
	}
	d.index, d.needsComplete, d.lastCallFailed = list.Index, false, false
	d.responses++
	for _, err := range list.Skipped {
		d.log.Warn("endpoint entry skipped", "err", err)
	}
	d.onList(list)
	return nil
}

// isCompleteRead returns an error if a response is not the complete list although wantComplete is set, or if
// it is a complete list without the field of the endpoints.
func isCompleteRead(response registry.ListResponse, wantComplete bool) error {
	switch {
	case wantComplete && !response.Snapshot:
		return errors.New("requested the complete list, got changes")
	case response.Snapshot && response.Endpoints == nil:
		return errors.New("complete list: endpoints are missing")
	}
	return nil
}

// connect dials the connection of a call. It refuses to dial for a request that net/http sends a second time.
func (d *PlatformFollower) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if d.attempts.Load() > 1 {
		return nil, errRepeatedRequest
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.conn.Store(&c)
	return observedConn{c, d}, nil
}

// get makes one request. If a reused connection breaks, net/http sends the request again, with too little
// time left for the hold. get makes this second attempt fail: the GetConn hook closes idle connections, and
// connect refuses to dial.
func (d *PlatformFollower) get(
	ctx context.Context,
	query string,
	hold time.Duration,
) (list registry.ListResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+d.grace)
	defer cancel()
	d.attempts.Store(0)
	d.responseBegun.Store(false)
	defer d.responseBegun.Store(false)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: func(string) {
		if d.attempts.Add(1) > 1 {
			d.client.CloseIdleConnections()
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url+query, nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("%w %s", errUnexpectedStatus, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlatformResponseBytes+1))
	if err != nil {
		return list, fmt.Errorf("read discovery's list: %w", err)
	}
	if len(body) > maxPlatformResponseBytes {
		return list, fmt.Errorf("read discovery's list: more than %d bytes", maxPlatformResponseBytes)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("parse discovery's list: %w", err)
	}
	return list, nil
}
