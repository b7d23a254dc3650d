package release

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"wrenspread/internal/besteffort"
)

const maxStatsBytes = 4 << 20 // bytes that are read of a proxy's statistics

// fetchStats reads the statistics at a proxy's control address.
func fetchStats(ctx context.Context, httpClient *http.Client, control string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/stats", nil)
	if err != nil {
		return "", err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return "", err
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatsBytes))
	return string(raw), err
}

// forEachStat calls visit for each line of a proxy's statistics that begins with a prefix. The part of the
// line's key after the prefix is split at its last dot into name and counter; n is the counter's value.
func forEachStat(text, prefix string, visit func(name, counter string, n int)) {
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), prefix)
		key, value, colon := strings.Cut(rest, ":")
		dot := strings.LastIndexByte(key, '.')
		number, _, _ := strings.Cut(value, "|")
		n, err := strconv.Atoi(number)
		if ok && colon && dot >= 0 && err == nil && n >= 0 {
			visit(key[:dot], key[dot+1:], n)
		}
	}
}

// parseBackendCounts returns the counts in a proxy's statistics by server.
func parseBackendCounts(text string) map[string]Counts {
	counts := map[string]Counts{}
	forEachStat(text, "app.backends.", func(name, counter string, n int) {
		c := counts[name]
		switch counter {
		case "succeeded":
			c.Requests += n
		case "failed":
			c.Requests += n
			c.Failed += n
		case "late":
			c.Late += n
		}
		counts[name] = c
	})
	return counts
}

// Counts reads the counts of each proxy.
func (f *ServerExecutor) Counts(ctx context.Context, named []string) (map[string]Comparison, error) {
	released := map[string]bool{}
	for _, n := range named {
		released[n] = true
	}
	counts := map[string]Comparison{}
	for _, proxy := range f.Proxies {
		text, err := fetchStats(ctx, f.HTTP, proxy.Control)
		if err != nil {
			continue // a proxy that can't be reached contributes no counts
		}
		var comparison Comparison
		for name, c := range parseBackendCounts(text) {
			if released[name] {
				comparison.Released = comparison.Released.plus(c)
			} else {
				comparison.Rest = comparison.Rest.plus(c)
			}
		}
		counts[proxy.Name] = comparison
	}
	if len(counts) == 0 && len(f.Proxies) > 0 {
		return nil, fmt.Errorf("read gate counts: none of %d proxies answered", len(f.Proxies))
	}
	return counts, nil
}
