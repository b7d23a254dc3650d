package server

import (
	"encoding/json"
	"net/http"

	"indigotack/internal/list"
)

// maxPut bounds a record's call, in bytes: the value, and what is around it.
const maxPut = list.MaxRecord + maxBody

// record answers with one record as it is now, or with the keys under a prefix.
func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	if !s.upToNow(w) {
		return
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	key := r.PathValue("key")
	if key == "" {
		writeJSON(w, http.StatusOK, append([]list.Record{}, s.machine.state.Records(r.URL.Query().Get("prefix"))...))
		return
	}
	one, ok := s.machine.state.Record(key)
	if !ok {
		refuse(w, http.StatusNotFound, string(list.Absent), "there is no record "+key, 0)
		return
	}
	writeJSON(w, http.StatusOK, one)
}

// putRecord writes a record; without a value it is taken away.
func (s *Server) putRecord(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxPut)
	if !ok {
		return
	}
	var in list.Put
	if err := json.Unmarshal(body, &in); err != nil {
		refuse(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	c := list.Command{Do: list.DoPut, Name: r.PathValue("key"), Value: in.Value, If: in.If, ID: in.ID, Fence: in.Fence}
	if err := c.Check(); err != nil {
		refuse(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	result, err := s.replica.apply(c)
	s.finish(w, result, err)
}
