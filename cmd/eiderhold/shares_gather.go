//go:build !hostonly

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
		Short: "Merge the demand that gateways recorded, and forecast it",
		Long: `Merge the forecast.dat files of gateways and show the demand to plan for, for each volume: a quantile
over all slots (minutes) of the days kept, summed over gateways. A slot of --half-life days ago
has half the weight of one of now. A surge of one hour a day is above 0.95 and below 0.99 of the slots.
--into writes the demands into a problem file; volumes without a record keep the demand in the file.
The order of the files does not matter, and neither does a file that is given twice.
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
			demands, err := forecast.EstimateDemands(merged, quantile, halfLife)
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
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.2f\n", v, d.AtQuantile, d.Mean, d.Peak, d.Gateways, d.Days)
			}
			return t.Flush()
		},
	}
	c.Flags().Float64Var(&quantile, "quantile", 0.95, "quantile of the slots, more than 0 and at most 1")
	c.Flags().Float64Var(&halfLife, "half-life", 2, "age in days at which a slot has half its weight")
	c.Flags().StringVar(&into, "into", "", "problem file in which demands are replaced")
	c.Flags().StringVar(&keep, "keep", "", "write the merged record to this file, from which it can be gathered again")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// writeDemands replaces demands in a problem file atomically. Comments in the file are lost.
func writeDemands(file string, demands map[string]forecast.Demand) error {
	p, err := loadProblem(file)
	if err != nil {
		return err
	}
	for i := range p.Volumes {
		if d, ok := demands[p.Volumes[i].ID]; ok {
			p.Volumes[i].Demand = min(d.AtQuantile, shares.MaxFlow)
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
	d := shares.GenerateOptions{}
	c := &cobra.Command{
		Use:     "generate",
		Short:   "Generate a random problem for trying out the solver",
		Long:    "Generate a random problem. The same flags give the same problem.\nExit status: 0 generated, 2 the flags cannot be met.",
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
	c.Flags().IntVar(&d.Volumes, "volumes", 50, "number of volumes")
	c.Flags().IntVar(&d.Nodes, "nodes", 8, "number of nodes")
	c.Flags().IntVar(&d.Zones, "zones", 1, "number of zones")
	c.Flags().Uint64Var(&d.Seed, "seed", 1, "seed of the random numbers")
	c.Flags().Float64Var(&d.Skew, "skew", 0.7, "Zipf exponent of the demands by rank; 0: all demands are equal")
	c.Flags().Float64Var(&d.Load, "load", 0.8, "total demand over total usable capacity")
	c.Flags().Int64Var(&d.MaxCapacityRatio, "unequal", 4, "capacity of the largest node over that of the smallest")
	c.Flags().IntVar(&d.Spread, "spread", 2, "most nodes that a volume is placed on")
	c.Flags().BoolVar(&d.Costs, "costs", false, "give the nodes of one zone a cost")
	c.Flags().BoolVar(&d.Placed, "placed", false, "give volumes a present placement on random nodes")
	return c
}
