package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"wrenspread/internal/registry"
)

func recordPath(key string) string { return "/registry/records/" + url.PathEscape(key) }

// Record reads the current value of a record. For a missing record it returns an *Error with status 404.
func (k *Client) Record(ctx context.Context, key string) (registry.Record, error) {
	var r registry.Record
	err := k.send(ctx, http.MethodGet, recordPath(key), nil, &r)
	return r, err
}

// Records lists the current keys and versions under a prefix, without values.
func (k *Client) Records(ctx context.Context, prefix string) ([]registry.Record, error) {
	var records []registry.Record
	err := k.send(
		ctx, http.MethodGet, "/registry/records?"+url.Values{"prefix": {prefix}}.Encode(), nil, &records)
	return records, err
}

// Put writes a record, or removes it if value is nil. ifVersion, if not nil, is the version that the record
// must have; 0 means that the record must be absent.
func (k *Client) Put(
	ctx context.Context,
	key string,
	value json.RawMessage,
	ifVersion *uint64,
) (registry.Result, error) {
	return k.put(ctx, key, registry.PutRequest{Value: value, IfVersion: ifVersion})
}

// Put is Client.Put under the fencing token.
func (h FencedClient) Put(
	ctx context.Context,
	key string,
	value json.RawMessage,
	ifVersion *uint64,
) (registry.Result, error) {
	return h.client.put(ctx, key, registry.PutRequest{Value: value, IfVersion: ifVersion, Token: &h.token})
}

// put writes a record under a new write id.
func (k *Client) put(ctx context.Context, key string, request registry.PutRequest) (registry.Result, error) {
	request.ID = newID()
	var r registry.Result
	err := k.send(ctx, http.MethodPut, recordPath(key), request, &r)
	return r, err
}
