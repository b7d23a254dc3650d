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

const maxPlatform = 4 << 20 // bytes of a list; a thousand endpoints take a twentieth

var (
	errResent    = errors.New("the connection broke")
	errRejected  = errors.New("discovery answers")
	errOlderList = errors.New("discovery's list is older than what it told")
)

// call asks once, for the complete list where that is to come, else for what is
// newer than the version known, and passes the answer on. After a failure no
// connection of before is used again: what silenced one may have silenced all.
func (d *Platform) call(ctx context.Context, hold time.Duration) error {
	if d.running.leaves.Load() {
		d.running.stop()
		return ctx.Err()
	}
	query := ""
	if !d.needsComplete {
		query = fmt.Sprintf("?from=%d&hold_ms=%d", d.index, hold.Milliseconds())
	}
	l, err := d.get(ctx, query, hold)
	if err == nil {
		err = isCompleteRead(l, d.needsComplete)
	}
	if err == nil && !d.needsComplete && l.Index < d.index {
		// A server that was set to drain would be ready again. The complete list is the truth.
		d.needsComplete, err = true, errOlderList
	}
	if err != nil {
		d.lastCallFailed = d.lastCallFailed || ctx.Err() == nil
		d.client.CloseIdleConnections()
		return err
	}
	d.index, d.needsComplete, d.lastCallFailed = l.Index, false, false
	d.answers++
	for _, err := range l.Skipped {
		d.log.Warn("endpoint entry skipped", "err", err)
	}
	d.onList(l)
	return nil
}

// isCompleteRead validates an answer that is, or was to be, the complete list.
func isCompleteRead(l registry.ListResponse, asked bool) error {
	switch {
	case asked && !l.Snapshot:
		return errors.New("the whole list was asked for, and changes came")
	case l.Snapshot && l.Endpoints == nil:
		return errors.New("a whole list without its servers")
	}
	return nil
}

// connect makes the connection of a call, and none for one that was sent already.
func (d *Platform) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if d.attempts.Load() > 1 {
		return nil, errResent
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.conn.Store(&c)
	return observedConn{c, d}, nil
}

// get makes one request. net/http would send it again by itself where a
// connection that was used before breaks, with what is left of its time for the
// whole hold: a second try finds neither an idle connection nor a new one.
func (d *Platform) get(
	ctx context.Context,
	query string,
	hold time.Duration,
) (l registry.ListResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+d.grace)
	defer cancel()
	d.attempts.Store(0)
	d.answerBegun.Store(false)
	defer d.answerBegun.Store(false)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: func(string) {
		if d.attempts.Add(1) > 1 {
			d.client.CloseIdleConnections()
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url+query, nil)
	if err != nil {
		return l, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return l, err
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("%w %s", errRejected, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlatform+1))
	if err != nil {
		return l, fmt.Errorf("discovery's list: %w", err)
	}
	if len(body) > maxPlatform {
		return l, errors.New("discovery's list is too long")
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, fmt.Errorf("discovery's list: %w", err)
	}
	return l, nil
}
