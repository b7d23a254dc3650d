package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"wrenspread/internal/registry"
)

func recordPath(key string) string { return "/registry/records/" + url.PathEscape(key) }

// Record reads a record as it is now; one that is not there is a Refused with 404.
func (k *Client) Record(ctx context.Context, key string) (registry.Record, error) {
	var r registry.Record
	err := k.send(ctx, http.MethodGet, recordPath(key), nil, &r)
	return r, err
}

// Records lists the keys under a prefix, as they are now.
func (k *Client) Records(ctx context.Context, prefix string) ([]registry.Record, error) {
	var all []registry.Record
	err := k.send(ctx, http.MethodGet, "/registry/records?"+url.Values{"prefix": {prefix}}.Encode(), nil, &all)
	return all, err
}

// Put writes a record; with a nil value it is taken away. cond, if there is one,
// is the version that the record must have, 0 for none.
func (k *Client) Put(
	ctx context.Context,
	key string,
	value json.RawMessage,
	cond *uint64,
) (registry.Result, error) {
	return k.put(ctx, key, registry.PutRequest{Value: value, IfVersion: cond})
}

// Put is Client.Put under the fencing token.
func (h FencedClient) Put(
	ctx context.Context,
	key string,
	value json.RawMessage,
	cond *uint64,
) (registry.Result, error) {
	return h.client.put(ctx, key, registry.PutRequest{Value: value, IfVersion: cond, Token: &h.token})
}

func (k *Client) put(ctx context.Context, key string, p registry.PutRequest) (registry.Result, error) {
	p.ID = newID()
	var r registry.Result
	err := k.send(ctx, http.MethodPut, recordPath(key), p, &r)
	return r, err
}
