package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wrenspread/internal/registry"
)

// maxPut bounds a record's call, in bytes: the value, and what is around it.
const maxPut = registry.MaxRecord + maxBody

// record answers with one record as it is now, or with the keys under a prefix.
func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	if !s.waitUntilCurrent(w) {
		return
	}
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	key := r.PathValue("key")
	if key == "" {
		writeJSON(
			w,
			http.StatusOK,
			append([]registry.Record{}, s.machine.state.Records(r.URL.Query().Get("prefix"))...),
		)
		return
	}
	one, ok := s.machine.state.Record(key)
	if !ok {
		writeError(w, http.StatusNotFound, string(registry.NotFound), "there is no record "+key, 0)
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
	var in registry.PutRequest
	if err := json.Unmarshal(body, &in); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	c := registry.Command{
		Op:        registry.OpPutRecord,
		Name:      r.PathValue("key"),
		Value:     in.Value,
		IfVersion: in.IfVersion,
		ID:        in.ID,
		Token:     in.Token,
	}
	if err := c.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	result, err := s.replica.apply(c)
	s.finish(w, result, err)
}

// watchRecords answers reads and watches of the records under a prefix, as this replica has them. A reader of
// another epoch, or of none, gets all of them at once; one that has seen more than this replica is never
// answered with less.
func (s *Server) watchRecords(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	had := 0
	if v := r.URL.Query().Get("had"); v != "" && err == nil {
		if had, err = strconv.Atoi(v); err != nil || had < 0 {
			err = fmt.Errorf("had: %q is not a number of records", v)
		}
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	if !s.contact.caughtUp.Load() {
		writeError(w, http.StatusServiceUnavailable, "not-begun", "this replica replays its log", time.Second)
		return
	}
	for end := time.Now().Add(q.hold); ; {
		a, news := s.recordsSince(q, r.URL.Query().Get("prefix"), had)
		wait := time.Until(end)
		if a.Epoch == q.epoch && q.from > a.Index {
			reason := fmt.Sprintf("this replica has version %d", a.Index)
			writeError(w, http.StatusServiceUnavailable, "behind", reason, 0)
			return
		}
		if news || a.Epoch != q.epoch || wait <= 0 || s.ctx.Err() != nil {
			writeJSON(w, http.StatusOK, a)
			return
		}
		if _, ok := s.await(w, r, s.recordHub, query{from: a.Index}, wait, cutOffHold); !ok {
			return
		}
	}
}

func (s *Server) recordsSince(q query, prefix string, had int) (registry.RecordsResponse, bool) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	if q.epoch != s.machine.state.Epoch() {
		q.from = 0
	}
	return s.machine.state.RecordsSince(prefix, q.from, had)
}
