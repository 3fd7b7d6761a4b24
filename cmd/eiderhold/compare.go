//go:build !hostonly

package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"eiderhold/internal/audit"
	"eiderhold/internal/rehearsal"
)

// seedFigures holds the values of one figure of a variant, one for each seed.
type seedFigures struct {
	Variant string    `json:"way"`
	Figure  string    `json:"by"`
	Values  []float64 `json:"parts"` // by seed
	Median  float64   `json:"median"`
}

// compareDays plays all variants of a day with one seed after the other and prints, for each variant:
// the part of the worth due that was earned, in total and by plan, the part of transfers that were
// refused, and the distribution of writes over shards.
func compareDays(ctx context.Context, w io.Writer, variants []rehearsal.Variant, repeat int, options rehearsal.Options, output string) error {
	firstSeed, dayName := options.Seed, variants[0].Day.Name
	if firstSeed == 0 {
		firstSeed = variants[0].Day.Seed
	}
	dir, log, breaches := options.Dir, options.Log, 0
	figures := map[[2]string]*seedFigures{}
	var order [][2]string
	for i := range repeat {
		for _, v := range variants {
			options.Seed, options.Dir = firstSeed+int64(i), filepath.Join(dir, fmt.Sprintf("%d-%s", firstSeed+int64(i), strings.ReplaceAll(v.Label, " ", "_")))
			log.Info("rehearsing", "day", dayName, "seed", options.Seed, "way", v.Label, "of", repeat*len(variants))
			res, err := rehearsal.Run(ctx, v.Day, options)
			if err != nil {
				return err
			}
			breaches += len(res.Report.Breaches)
			add := func(by string, x float64) {
				k := [2]string{by, v.Label}
				if figures[k] == nil {
					figures[k] = &seedFigures{Variant: v.Label, Figure: by}
					order = append(order, k)
				}
				figures[k].Values = append(figures[k].Values, x)
			}
			addFigures(res.Report, add)
		}
	}
	for _, s := range figures {
		sorted := slices.Sorted(slices.Values(s.Values))
		s.Median = sorted[len(sorted)/2]
		if len(sorted)%2 == 0 {
			s.Median = (s.Median + sorted[len(sorted)/2-1]) / 2
		}
	}
	slices.SortStableFunc(order, func(a, b [2]string) int { // by figure; variants in the order given
		return slices.IndexFunc(order, func(k [2]string) bool { return k[0] == a[0] }) -
			slices.IndexFunc(order, func(k [2]string) bool { return k[0] == b[0] })
	})
	if output == "json" {
		list := make([]*seedFigures, 0, len(order))
		for _, k := range order {
			list = append(list, figures[k])
		}
		if err := printJSON(w, map[string]any{"day": dayName, "figures": list, "breaches": breaches}); err != nil {
			return err
		}
	} else {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "%s, %d seeds\tway\tmedian\tleast\tmost\n", dayName, repeat)
		for _, k := range order {
			s := figures[k]
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\n", s.Figure, s.Variant, s.Median, slices.Min(s.Values), slices.Max(s.Values))
		}
		t.Flush()
	}
	if breaches > 0 {
		return negativeResult{fmt.Errorf("rules were broken at %d places: the records are in the folders in %s", breaches, dir)}
	}
	return nil
}

// addFigures calls add with each figure of a day's report that is compared.
func addFigures(r *audit.Report, add func(by string, x float64)) {
	add("service, "+r.Total.By, r.Total.Part())
	for _, s := range r.Service {
		if isPlanService(s) {
			add("service, "+s.By, s.Part())
		}
	}
	all := 0
	for _, n := range r.Transfers {
		all += n
	}
	add("transfers refused, part", float64(r.Transfers["refused"])/float64(max(1, all)))
	if s := r.Spread; s.Used > 0 {
		add("shards that took writes, part", float64(s.Used)/float64(s.Nodes))
		add("writes, largest over mean", s.Largest)
		add("writes, coefficient of variation", s.Varies)
		add("files touched by a shard's loss, part", s.Mean)
		add("files touched, of the worst shard", s.Touched)
	}
}

func isPlanService(s audit.Service) bool { return len(s.By) > 5 && s.By[:5] == "plan " }
