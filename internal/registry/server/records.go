package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wrenspread/internal/registry"
)

// maxPutBytes bounds the body of a write of a record: the value and the other fields.
const maxPutBytes = registry.MaxRecordValueBytes + maxBodyBytes

// readRecords responds with the current value of a record or, if the path has no key, with the keys under a
// prefix.
func (s *Server) readRecords(w http.ResponseWriter, r *http.Request) {
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
	record, ok := s.machine.state.Record(key)
	if !ok {
		writeError(w, http.StatusNotFound, string(registry.NotFound), "there is no record "+key, 0)
		return
	}
	writeJSON(w, http.StatusOK, record)
}

// putRecord writes a record, or removes it if the body has no value.
func (s *Server) putRecord(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxPutBytes)
	if !ok {
		return
	}
	var request registry.PutRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	c := registry.Command{
		Op:        registry.OpPutRecord,
		Name:      r.PathValue("key"),
		Value:     request.Value,
		IfVersion: request.IfVersion,
		ID:        request.ID,
		Token:     request.Token,
	}
	if err := c.Check(); err != nil {
		writeError(w, http.StatusBadRequest, "bad", err.Error(), 0)
		return
	}
	result, err := s.replica.apply(c)
	s.writeResult(w, result, err)
}

// watchRecords responds to a read or a watch of the records under a prefix with the state of this replica. A
// reader with another epoch, or without an epoch, gets all records at once. A reader whose version is above
// this replica's version gets an error, never an older state.
func (s *Server) watchRecords(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	knownCount := 0
	if v := r.URL.Query().Get("had"); v != "" && err == nil {
		if knownCount, err = strconv.Atoi(v); err != nil || knownCount < 0 {
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
		response, changed := s.recordsSince(q, r.URL.Query().Get("prefix"), knownCount)
		wait := time.Until(end)
		if response.Epoch == q.epoch && q.from > response.Index {
			reason := fmt.Sprintf("this replica has version %d", response.Index)
			writeError(w, http.StatusServiceUnavailable, "behind", reason, 0)
			return
		}
		if changed || response.Epoch != q.epoch || wait <= 0 || s.ctx.Err() != nil {
			writeJSON(w, http.StatusOK, response)
			return
		}
		if _, ok := s.await(w, r, s.recordHub, query{from: response.Index}, wait, maxCutOffHold); !ok {
			return
		}
	}
}

// recordsSince returns the response to a query, and whether it has anything new for the reader.
func (s *Server) recordsSince(q query, prefix string, knownCount int) (registry.RecordsResponse, bool) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	if q.epoch != s.machine.state.Epoch() {
		q.from = 0
	}
	return s.machine.state.RecordsSince(prefix, q.from, knownCount)
}
