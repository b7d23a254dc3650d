package server

import (
	"fmt"
	"net/http"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// maxRestoreBytes bounds the size of a backup that is restored. The largest list with all records takes five
// sixths of it.
const maxRestoreBytes = 80 << 20

// backup responds with the complete current state, with a checksum.
func (s *Server) backup(w http.ResponseWriter, _ *http.Request) {
	if !s.waitUntilCurrent(w) {
		return
	}
	s.machine.mu.RLock()
	stateCopy := s.machine.state.Snapshot()
	s.machine.mu.RUnlock()
	raw, err := stateCopy.Encode()
	if err != nil {
		writeError(w, http.StatusInternalServerError, "encoding", err.Error(), 0)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	besteffort.Response(w.Write(checksumfile.Encode(raw))) // a client that is gone needs no response
}

// restore replaces the state by a backup, under a new epoch. The call names the epoch of the list to be
// replaced, so that it can't replace the list of another cluster. It also has a write id, so that a repeat of
// the call does not restore again.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxRestoreBytes)
	if !ok {
		return
	}
	raw, err := checksumfile.Decode(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad", fmt.Sprintf("backup: %v", err), 0)
		return
	}
	replacedEpoch, id := r.URL.Query().Get("epoch"), r.URL.Query().Get("id")
	c := registry.Command{
		Op:            registry.OpRestore,
		ID:            id,
		Epoch:         newEpoch(),
		ReplacesEpoch: replacedEpoch,
		Snapshot:      raw,
	}
	if err := c.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if replacedEpoch == "" {
		writeError(w, http.StatusBadRequest, "bad", "epoch: missing; it is that of the list to be replaced", 0)
		return
	}
	result, err := s.replica.apply(c)
	if err == nil && result.Code == registry.Applied {
		s.log.Warn("backup restored", "epoch", c.Epoch, "version", result.Version)
	}
	s.writeResult(w, result, err)
}
