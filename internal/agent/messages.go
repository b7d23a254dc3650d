// Package agent keeps the servers of one machine running: a supervisor for each starts, watches and replaces
// its process, and keeps its endpoint registered. Orders come from the holder of a release's lease and are
// checked by its fencing token. Processes outlive the agent: the next one on the same folder adopts them.
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

// RecordPrefix begins the keys of agents' records in the registry.
const RecordPrefix = "agent/"

// Record is what an agent publishes about itself in its record.
type Record struct {
	Machine string   `json:"machine"`
	Address string   `json:"address"` // where it takes calls
	Servers []string `json:"servers"` // that it keeps
}

// Status is a server as its agent sees it.
type Status struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Type          string `json:"type"`
	Cell          int    `json:"group"`
	Address       string `json:"address"`
	Version       string `json:"version"`         // that its process has, or had last
	WantedVersion string `json:"want"`            // that it is to have
	Running       bool   `json:"running"`         // its process is there
	Ready         bool   `json:"ready"`           // it answers
	Restarts      int    `json:"restarts"`        // of this version, by itself
	Reason        string `json:"why,omitempty"`   // it is not ready
	StartedAtMS   int64  `json:"since_ms"`        // Unix time of the process's start
	KeepDraining  bool   `json:"quiet,omitempty"` // it is not to be listed as ready: it is being replaced

	// its versions replace each other without an end in between
	Handover bool   `json:"handover,omitempty"`
	Control  string `json:"control,omitempty"` // where operators call such a one
	// a version that did not get ready beside the one that runs, which stayed
	RejectedVersion string `json:"refused,omitempty"`
}

// DesiredState is the desired state of a server.
type DesiredState struct {
	Version string `json:"version"`
	// it stays draining in the endpoint list until an order without KeepDraining
	KeepDraining bool `json:"quiet"`
}

const maxCall = 64 << 10 // bytes of a call or an answer

// ErrStale is the refusal of an order whose holder has been followed by another.
var ErrStale = errors.New("agent: another holds the duty")

// Caller calls agents.
type Caller struct {
	HTTP *http.Client
}

// Status asks an agent for a server.
func (c Caller) Status(ctx context.Context, address, server string) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, address, server, nil, nil, &s)
}

// Order tells an agent the desired state of a server, under a fencing token; it does not wait for it.
func (c Caller) Order(
	ctx context.Context,
	address, server string,
	o DesiredState,
	f registry.FencingToken,
) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodPut, address, server, o, &f, &s)
}

func (c Caller) call(
	ctx context.Context,
	method, address, server string,
	body any,
	f *registry.FencingToken,
	into any,
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
	if f != nil {
		req.Header.Set(fencing.Header, fencing.Format(*f))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("agent at %s: %w", address, err)
	}
	defer besteffort.Close(resp.Body)
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxCall))
	switch {
	case err != nil:
		return fmt.Errorf("agent at %s: %w", address, err)
	case resp.StatusCode == http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrStale, bytes.TrimSpace(text))
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("agent at %s: %s: %s", address, resp.Status, bytes.TrimSpace(text))
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("agent at %s: %w", address, err)
	}
	return nil
}
