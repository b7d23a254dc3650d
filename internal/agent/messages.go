// Package agent keeps the servers of one machine running. For each server a supervisor starts, checks and
// replaces its process, and the agent keeps the server registered as an endpoint. The desired state of a
// server is set by the holder of a release's lease, whose fencing token is checked. Processes keep running
// when the agent ends; the next agent on the same folder adopts them.
package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/registry"
)

// RecordPrefix is the prefix of the keys of agents' records in the registry. The machine's name follows it.
const RecordPrefix = "agent/"

// Record is what an agent publishes about itself in its record.
type Record struct {
	Machine string   `json:"machine"`
	Address string   `json:"address"` // address for HTTP calls
	Servers []string `json:"servers"` // names of the servers that the agent runs
}

// Status describes a server as its agent sees it.
type Status struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Type          string `json:"type"`
	Cell          int    `json:"group"`
	Address       string `json:"address"`
	Version       string `json:"version"`         // version of the running process, or of the last one
	WantedVersion string `json:"want"`            // version that is to run
	Running       bool   `json:"running"`         // the server has a running process
	Ready         bool   `json:"ready"`           // the last readiness check succeeded
	Restarts      int    `json:"restarts"`        // restarts of this version after its process ended by itself
	Reason        string `json:"why,omitempty"`   // why the server is not ready
	StartedAtMS   int64  `json:"since_ms"`        // Unix time of the process's start, in milliseconds
	KeepDraining  bool   `json:"quiet,omitempty"` // the server is registered as draining while it is replaced

	// Handoff is set if a new version takes over from the running one without an interruption.
	Handoff bool   `json:"handover,omitempty"`
	Control string `json:"control,omitempty"` // control address of the running process, with Handoff
	// RejectedVersion is the version that did not get ready in the last upgrade. The previous version is still
	// running.
	RejectedVersion string `json:"refused,omitempty"`
}

// DesiredState is the desired state of a server.
type DesiredState struct {
	Version string `json:"version"`
	// KeepDraining registers the server as draining until a desired state without KeepDraining is set.
	KeepDraining bool `json:"quiet"`
}

const maxMessageBytes = 64 << 10 // bytes of a request's or a response's body

// ErrStaleToken means that an agent rejected a desired state because its fencing token is not the latest: the
// agent has accepted a later token of the same lease.
var ErrStaleToken = errors.New("agent: another holds the duty")

// Client calls the HTTP interface of agents.
type Client struct {
	HTTP *http.Client
}

// Status returns the status of a server, as the agent at address sees it.
func (c Client) Status(ctx context.Context, address, server string) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, address, server, nil, nil, &s)
}

// SetDesiredState sets the desired state of a server under a fencing token, and returns the server's status.
// It does not wait until the server has that state.
func (c Client) SetDesiredState(
	ctx context.Context,
	address, server string,
	desired DesiredState,
	token registry.FencingToken,
) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodPut, address, server, desired, &token, &s)
}

// call sends a request about a server to an agent, and decodes the response into result. body and token may
// be nil.
func (c Client) call(
	ctx context.Context,
	method, address, server string,
	body any,
	token *registry.FencingToken,
	result any,
) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(
		ctx,
		method,
		"http://"+address+"/servers/"+url.PathEscape(server),
		bytes.NewReader(raw),
	)
	if err != nil {
		return err
	}
	if token != nil {
		req.Header.Set(fencing.Header, fencing.Format(*token))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("agent at %s: %w", address, err)
	}
	defer besteffort.Close(resp.Body)
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	switch {
	case err != nil:
		return fmt.Errorf("agent at %s: %w", address, err)
	case resp.StatusCode == http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrStaleToken, bytes.TrimSpace(text))
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("agent at %s: %s: %s", address, resp.Status, bytes.TrimSpace(text))
	}
	if err := json.Unmarshal(text, result); err != nil {
		return fmt.Errorf("agent at %s: %w", address, err)
	}
	return nil
}
