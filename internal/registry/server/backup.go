package server

import (
	"fmt"
	"net/http"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// maxRestore bounds a backup that is brought back, in bytes: a list of the greatest size with all records
// takes five sixths.
const maxRestore = 80 << 20

// backup answers with the whole state as it is now, with a checksum.
func (s *Server) backup(w http.ResponseWriter, _ *http.Request) {
	if !s.waitUntilCurrent(w) {
		return
	}
	s.machine.mu.RLock()
	image := s.machine.state.Snapshot()
	s.machine.mu.RUnlock()
	raw, err := image.Encode()
	if err != nil {
		writeError(w, http.StatusInternalServerError, "encoding", err.Error(), 0)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	besteffort.Response(w.Write(checksumfile.Encode(raw))) // a caller that has left needs nothing
}

// restore replaces the list by a backup, under a new epoch. The call names the epoch that it means to
// replace, so that it can't hit another cluster, and a write id, so that a repeat does not restore twice.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxRestore)
	if !ok {
		return
	}
	raw, err := checksumfile.Decode(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad", fmt.Sprintf("backup: %v", err), 0)
		return
	}
	over, id := r.URL.Query().Get("epoch"), r.URL.Query().Get("id")
	c := registry.Command{Op: registry.OpRestore, ID: id, Epoch: newEpoch(), ReplacesEpoch: over, Snapshot: raw}
	if err := c.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if over == "" {
		writeError(w, http.StatusBadRequest, "bad", "epoch: missing; it is that of the list to be replaced", 0)
		return
	}
	result, err := s.replica.apply(c)
	if err == nil && result.Code == registry.Applied {
		s.log.Warn("backup restored", "epoch", c.Epoch, "version", result.Version)
	}
	s.finish(w, result, err)
}
