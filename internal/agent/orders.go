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

// handleOrder handles a request that sets the desired state of a server. It rejects a request without a
// fencing token, or with an older token of a lease than this agent has accepted before. The state is stored
// before it takes effect, and repeating a request changes nothing.
func (a *agent) handleOrder(w http.ResponseWriter, r *http.Request) {
	k := a.supervisors[r.PathValue("name")]
	if k == nil {
		http.Error(w, "this agent keeps no "+r.PathValue("name"), http.StatusNotFound)
		return
	}
	if r.Header.Get(fencing.Header) == "" {
		http.Error(w, "an order needs a fence: "+fencing.Header+": DUTY NUMBER", http.StatusBadRequest)
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	var desired DesiredState
	if err == nil {
		err = json.Unmarshal(raw, &desired)
	}
	if err == nil && (desired.Version == "" || len(desired.Version) > registry.MaxTextBytes) {
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
	if err := a.storeDesired(k.server.Name, desired); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	k.setDesired(desired)
	status, _ := k.current()
	writeJSON(w, status)
}

// desiredFile returns the path of the file that stores the desired states.
func (a *agent) desiredFile() string { return filepath.Join(a.config.Folder, "orders") }

// loadDesired reads the stored desired states of the servers, by name. It returns an empty map if there is no
// file.
func (a *agent) loadDesired() (map[string]DesiredState, error) {
	desired := map[string]DesiredState{}
	raw, err := checksumfile.Read(a.desiredFile(), maxDesiredFileBytes)
	if errors.Is(err, os.ErrNotExist) {
		return desired, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &desired)
	}
	if err != nil {
		return nil, fmt.Errorf("the orders of before: %w", err)
	}
	return desired, nil
}

// storeDesired stores the desired state of a server, unless the file has it already.
func (a *agent) storeDesired(server string, desired DesiredState) error {
	a.desiredFileMu.Lock()
	defer a.desiredFileMu.Unlock()
	stored, err := a.loadDesired()
	if err != nil {
		return err
	}
	if stored[server] == desired {
		return nil
	}
	stored[server] = desired
	raw, err := json.Marshal(stored)
	if err == nil {
		err = checksumfile.Write(a.desiredFile(), raw)
	}
	if err != nil {
		return fmt.Errorf("the order can't be kept: %w", err)
	}
	return nil
}
