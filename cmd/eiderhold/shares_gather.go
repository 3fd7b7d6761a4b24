package main

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/google/renameio/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"eiderhold/forecast"
	"eiderhold/shares"
)

func sharesGather() *cobra.Command {
	var quantile, halfLife float64
	var into, keep, output string
	c := &cobra.Command{
		Use:   "gather RECORD...",
		Short: "Merge what gateways saw of demand, and forecast it",
		Long: `Merge the forecast.dat files of gateways and tell, of each volume, the demand to plan for: the
quantile of all slots (minutes) of the days kept, a day of --half-life days ago counting half,
added up over gateways. A surge of an hour a day is above 0.95 and below 0.99 of the slots.
With --into the demands are written into a problem's file; a volume without a record keeps what it has.
The order of files does not matter, nor does one that comes twice.
Exit status: 0 done, 2 a file cannot be used.`,
		Example: "  eiderhold shares gather gw-*/forecast.dat\n" +
			"  eiderhold shares gather gw-*/forecast.dat --quantile 0.99 --into fleet.toml",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			var merged *forecast.Record
			for _, file := range args {
				b, err := os.ReadFile(file)
				if err != nil {
					return fmt.Errorf("shares: %w", err)
				}
				r, err := forecast.ReadRecord(b)
				if err == nil && merged != nil {
					r, err = forecast.Merge(merged, r)
				}
				if err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				merged = r
			}
			demands, err := forecast.Demands(merged, quantile, halfLife)
			if err != nil {
				return err
			}
			if keep != "" {
				b, err := merged.Encode()
				if err == nil {
					err = renameio.WriteFile(keep, b, 0o644)
				}
				if err != nil {
					return fmt.Errorf("shares: --keep %s: %w", keep, err)
				}
			}
			if into != "" {
				if err := writeDemands(into, demands); err != nil {
					return err
				}
			}
			w := cmd.OutOrStdout()
			if output == "json" {
				return printJSON(w, demands)
			}
			t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "volume\tdemand\tmean\tpeak\tgateways\tdays")
			for _, v := range slices.Sorted(maps.Keys(demands)) {
				d := demands[v]
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.2f\n", v, d.Milli, d.Mean, d.Peak, d.Gateways, d.Days)
			}
			return t.Flush()
		},
	}
	c.Flags().Float64Var(&quantile, "quantile", 0.95, "of the slots, more than 0, at most 1")
	c.Flags().Float64Var(&halfLife, "half-life", 2, "days after which a slot counts half")
	c.Flags().StringVar(&into, "into", "", "problem's file whose demands are replaced")
	c.Flags().StringVar(&keep, "keep", "", "write the merged record to this file, to be gathered again")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// planFor writes demands into a problem's file, whole or not at all. Comments are lost.
func writeDemands(file string, demands map[string]forecast.Demand) error {
	p, err := loadProblem(file)
	if err != nil {
		return err
	}
	for i := range p.Volumes {
		if d, ok := demands[p.Volumes[i].ID]; ok {
			p.Volumes[i].Demand = min(d.Milli, shares.MostFlow)
		}
	}
	b, err := problemText(p)
	if err == nil {
		err = renameio.WriteFile(file, b, 0o644)
	}
	if err != nil {
		return fmt.Errorf("shares: --into %s: %w", file, err)
	}
	return nil
}

func problemText(p *shares.Problem) ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(false)
	if err := e.Encode(p); err != nil {
		return nil, fmt.Errorf("shares: %w", err)
	}
	return b.Bytes(), nil
}

func sharesGenerate() *cobra.Command {
	d := shares.Draw{}
	c := &cobra.Command{
		Use:     "generate",
		Short:   "Draw a problem, to try the solver on",
		Long:    "Draw a problem: the same flags give the same one.\nExit status: 0 drawn, 2 the flags cannot be met.",
		Example: "  eiderhold shares generate --volumes 500 --nodes 42 --zones 3 --skew 1 --load 1.05 > fleet.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := shares.Generate(d)
			if err != nil {
				return err
			}
			b, err := problemText(p)
			if err == nil {
				_, err = cmd.OutOrStdout().Write(b)
			}
			return err
		},
	}
	c.Flags().IntVar(&d.Volumes, "volumes", 50, "how many")
	c.Flags().IntVar(&d.Nodes, "nodes", 8, "how many")
	c.Flags().IntVar(&d.Zones, "zones", 1, "how many")
	c.Flags().Uint64Var(&d.Seed, "seed", 1, "of what is drawn")
	c.Flags().Float64Var(&d.Skew, "skew", 0.7, "exponent of demands by rank (Zipf); 0: all alike")
	c.Flags().Float64Var(&d.Load, "load", 0.8, "demand over all that is usable")
	c.Flags().Int64Var(&d.Unequal, "unequal", 4, "capacity of the largest node over that of the least")
	c.Flags().IntVar(&d.Spread, "spread", 2, "nodes that a volume lies on, at most")
	c.Flags().BoolVar(&d.Costs, "costs", false, "nodes of one zone cost something")
	c.Flags().BoolVar(&d.Placed, "placed", false, "volumes lie somewhere now, at random")
	return c
}
