package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"indigotack/internal/list"
)

func recordPath(key string) string { return "/registry/records/" + url.PathEscape(key) }

// Record reads a record as it is now; one that is not there is a Refused with 404.
func (k *Client) Record(ctx context.Context, key string) (list.Record, error) {
	var r list.Record
	err := k.send(ctx, http.MethodGet, recordPath(key), nil, &r)
	return r, err
}

// Records lists the keys under a prefix, as they are now.
func (k *Client) Records(ctx context.Context, prefix string) ([]list.Record, error) {
	var all []list.Record
	err := k.send(ctx, http.MethodGet, "/registry/records?"+url.Values{"prefix": {prefix}}.Encode(), nil, &all)
	return all, err
}

// Put writes a record; with a nil value it is taken away. cond, if there is one,
// is the version that the record must have, 0 for none.
func (k *Client) Put(ctx context.Context, key string, value json.RawMessage, cond *uint64) (list.Result, error) {
	return k.put(ctx, key, list.Put{Value: value, If: cond})
}

// Put is Client.Put under the fence.
func (h Holder) Put(ctx context.Context, key string, value json.RawMessage, cond *uint64) (list.Result, error) {
	return h.k.put(ctx, key, list.Put{Value: value, If: cond, Fence: &h.f})
}

func (k *Client) put(ctx context.Context, key string, p list.Put) (list.Result, error) {
	p.ID = newID()
	var r list.Result
	err := k.send(ctx, http.MethodPut, recordPath(key), p, &r)
	return r, err
}
