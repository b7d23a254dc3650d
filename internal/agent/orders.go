package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/fencing"
	"wrenspread/internal/registry"
)

// order takes the desired state of a server, from the present lease holder alone. It is kept before it is
// carried out, and the same order twice has the effect of one.
func (a *agent) order(w http.ResponseWriter, r *http.Request) {
	k := a.supervisors[r.PathValue("name")]
	if k == nil {
		http.Error(w, "this agent keeps no "+r.PathValue("name"), http.StatusNotFound)
		return
	}
	if r.Header.Get(fencing.Header) == "" {
		http.Error(w, "an order needs a fence: "+fencing.Header+": DUTY NUMBER", http.StatusBadRequest)
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	var o DesiredState
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err == nil && (o.Version == "" || len(o.Version) > registry.MaxTextBytes) {
		err = fmt.Errorf("version: want 1 to %d bytes", registry.MaxTextBytes)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, err := a.guard.CheckRequest(r); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if err := a.storeDesired(k.server.Name, o); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	k.setDesired(o)
	status, _ := k.current()
	writeJSON(w, status)
}

func (a *agent) desiredFile() string { return filepath.Join(a.config.Folder, "orders") }

// loadDesired reads the last desired states of the servers.
func (a *agent) loadDesired() (map[string]DesiredState, error) {
	all := map[string]DesiredState{}
	raw, err := checksumfile.Read(a.desiredFile(), maxDesiredFile)
	if errors.Is(err, os.ErrNotExist) {
		return all, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &all)
	}
	if err != nil {
		return nil, fmt.Errorf("the orders of before: %w", err)
	}
	return all, nil
}

func (a *agent) storeDesired(server string, o DesiredState) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	all, err := a.loadDesired()
	if err != nil {
		return err
	}
	if all[server] == o {
		return nil
	}
	all[server] = o
	raw, err := json.Marshal(all)
	if err == nil {
		err = checksumfile.Write(a.desiredFile(), raw)
	}
	if err != nil {
		return fmt.Errorf("the order can't be kept: %w", err)
	}
	return nil
}
