package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// checkOrdinary checks that the ordinary requests got their final answers in time, and that enough of them
// were served, unless the crowd's shapes compete with them for the backends.
func checkOrdinary(t *testing.T, results []ordinaryResult, shapes ...string) {
	t.Helper()
	checkFinalAnswers(t, results)
	served := 0
	for _, r := range results {
		if r.status == http.StatusOK {
			served++
		}
	}
	competes := slices.ContainsFunc(shapes, func(shape string) bool { return slices.Contains(backendShapes, shape) })
	if !competes && float64(served) < ordinaryServed*float64(len(results)) || len(results) == 0 {
		t.Errorf("%v of %d ordinary requests were served", served, len(results))
	}
}

// checkFinalAnswers checks that each request that the proxy had taken got its final answer in time.
func checkFinalAnswers(t *testing.T, results []ordinaryResult) {
	t.Helper()
	statuses := map[int]int{}
	ends := map[unanswered]int{}
	late, crossed := 0, 0
	longest, crossing := time.Duration(0), time.Duration(0)
	var lost []string
	for _, r := range results {
		longest = max(longest, r.took)
		crossed += r.crossed
		crossing = max(crossing, r.crossing)
		if r.ended == "" {
			statuses[r.status]++
		} else {
			ends[r.ended]++
		}
		if r.took > r.deadline+lateness {
			late++
		} else if r.ended.isLost() {
			lost = append(lost, fmt.Sprintf("%s %s sent %s, after %v: %s", r.id, r.class, r.at.Format("05.000"), r.took, r.ended))
		}
	}
	if late > 0 || len(lost) > 0 {
		t.Errorf("of %d requests %d were answered late, %d were lost:\n%s", len(results), late, len(lost),
			strings.Join(lost[:min(20, len(lost))], "\n"))
	}
	t.Logf("%d requests: %v, unanswered %v, %d crossed a close, in %v at most; the longest took %v",
		len(results), statuses, ends, crossed, crossing, longest)
}
