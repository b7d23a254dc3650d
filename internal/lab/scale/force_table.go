package scale

// ordersTable is policies, tenants and bans until they are in force everywhere.
func ordersTable(s sheet) (string, error) {
	var rows [][]string
	for _, m := range []measured{s.before, s.after} {
		r, has := m.of["force"]
		if !has {
			rows = append(rows, append([]string{m.label, notRun}, slicesOf(7, "")...))
			continue
		}
		for _, kind := range []struct{ name, what string }{{"policy", "a policy"}, {"tenant", "a tenant brought in"}, {"ban", "a ban"}} {
			for _, p := range r.Points {
				t := func(name string) string { return p.shown(kind.name+name, "s") }
				rows = append(rows, []string{m.label, kind.what, number(float64(p.Sizes["nodes"])), number(float64(p.Sizes["changes"])), t("_half_s"), t("_most99_s"), t("_last_s"), t("_last_worst_s"), p.shown("load", "")})
			}
		}
	}
	return table([]string{"program", "of", "hollow nodes", "changes of the list a second", "half of them", "99%", "the last", "the last, worst change", "load on 8 cores"}, rows), nil
}
