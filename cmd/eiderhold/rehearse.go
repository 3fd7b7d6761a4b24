//go:build !hostonly

package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"eiderhold/internal/audit"
	"eiderhold/internal/record"
	"eiderhold/internal/rehearsal"
	"eiderhold/internal/telemetry"
)

func rehearseCommand() *cobra.Command {
	var dir, output, sharesModes string
	var vary []string
	var seed int64
	var repeat int
	c := &cobra.Command{
		Use:   "rehearse DAY.toml",
		Short: "Run a scripted day and audit it",
		Long: `Run a scripted day: stand-in nodes, a stand-in register, gateways as separate processes, scripted
clients and troubles. Then check the seven rules from what was recorded at the sockets, and report
service as the worth that was answered in time over the worth due.
With --repeat the day is run with that many seeds, and for each seed with every combination of the
values of --vary and --shares. A table compares them: service, refusals and the distribution of
writes over shards.
Exit status: 0 all rules were kept, 1 a rule was broken, 2 the day could not be run.`,
		Example: "  eiderhold rehearse testdata/bad-day.toml --dir /tmp/day\n" +
			"  eiderhold rehearse testdata/shares/surge.toml --shares none,right,wrong --repeat 5\n" +
			"  eiderhold rehearse testdata/placement/vanish.toml --vary placement.choice=0,1,2,3 --repeat 5",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			day, err := rehearsal.LoadDay(args[0])
			if err != nil {
				return err
			}
			variants := []rehearsal.Variant{{Label: "as it is", Day: day}}
			if sharesModes != "" {
				vary = append(vary, "shares.told="+sharesModes)
			}
			var keys []rehearsal.Key
			for _, v := range vary {
				key, values, _ := strings.Cut(v, "=")
				keys = append(keys, rehearsal.Key{Name: key, Values: strings.Split(values, ",")})
			}
			if len(keys) > 0 {
				if variants, err = rehearsal.Vary(args[0], keys...); err != nil {
					return err
				}
				day = variants[0].Day
			}
			if repeat < 1 || len(variants) > 1 && repeat == 1 {
				return fmt.Errorf("--repeat %d: expected at least 1, and at least 2 to compare variants", repeat)
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "eiderhold-day-"); err != nil {
					return err
				}
			}
			log, _, err := telemetry.NewLogger(os.Stderr, "info")
			if err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			options := rehearsal.Options{Dir: dir, Command: []string{executable, "serve"}, Log: log, Seed: seed}
			if repeat > 1 {
				return compareDays(ctx, cmd.OutOrStdout(), variants, repeat, options, output)
			}
			log.Info("rehearsing", "day", day.Name, "lasts", day.Lasts.D(), "folder", dir)
			res, err := rehearsal.Run(ctx, day, options)
			if err != nil {
				return err
			}
			if output == "text" {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: played in %v, %d arrivals beyond a load's ceiling, records in %s\n\n", day.Name,
					res.Lasted.Round(time.Millisecond), res.Dropped, filepath.Join(dir, "records"))
			}
			return showReport(cmd.OutOrStdout(), res.Report, output)
		},
	}
	c.Flags().StringVar(&sharesModes, "shares", "", "none, right or wrong, instead of the day's shares.told; several, separated by commas, are compared")
	c.Flags().StringArrayVar(&vary, "vary", nil, "KEY=VALUE,VALUE...: values to compare for a key of the day (site, gateways, shares) or of the gateways' settings; repeat the flag to combine keys")
	c.Flags().IntVar(&repeat, "repeat", 1, "number of seeds to run the day with, counted up from its own")
	c.Flags().StringVar(&dir, "dir", "", "folder for the records, the gateways and their logs; empty: a new temporary folder")
	c.Flags().Int64Var(&seed, "seed", 0, "seed to use instead of the day's; 0: the day's")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func auditCommand() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "audit DIR",
		Short: "Check the seven rules from the records of a day",
		Long: `Check the seven rules from what stand-ins and clients recorded at their sockets (the folder "records"
of a rehearsal), and report service. Nothing that the gateways wrote themselves is used.
Exit status: 0 all rules were kept, 1 a rule was broken, 2 the records cannot be read.`,
		Example: "  eiderhold audit /tmp/day/records",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			recs, err := audit.ReadDir(args[0])
			if err != nil {
				return err
			}
			rules, err := audit.LoadRules(args[0])
			if err != nil {
				return err
			}
			return showReport(cmd.OutOrStdout(), audit.Check(recs, rules), output)
		},
	}
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func checkOutput(output string) error {
	if output != "text" && output != "json" {
		return fmt.Errorf("--output %s: expected text or json", output)
	}
	return nil
}

const maxBreachesShown = 20

// showReport prints an audit. If a rule was broken, it returns a negativeResult.
func showReport(w io.Writer, rep *audit.Report, output string) error {
	var err error
	if n := len(rep.Breaches); n > 0 {
		err = negativeResult{fmt.Errorf("rules were broken at %d places", n)}
	}
	if output == "json" {
		return errors.Join(printJSON(w, rep), err)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tlooked at\tbroken")
	broken := [8]int{}
	for _, b := range rep.Breaches {
		broken[b.Rule]++
	}
	for rule := 1; rule <= 7; rule++ {
		fmt.Fprintf(t, "%d %s\t%d\t%d\n", rule, audit.RuleName(rule), rep.Checked[rule], broken[rule])
	}
	fmt.Fprintln(t, "\nservice\tasked\tserved\tin time\tworth due\tearned\tpart")
	for _, s := range append(rep.Service, rep.Total) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\n", s.By, s.Asked, s.Served, s.InTime, s.Due, s.Earned, s.Part())
	}
	t.Flush()
	if s := rep.Spread; s.Used > 0 {
		fmt.Fprintf(w, "\nwrites: %d of %d shards took some, the largest %.2f times the mean, coefficient of variation %.2f\n",
			s.Used, s.Nodes, s.Largest, s.Varies)
		fmt.Fprintf(w, "files: the loss of one shard touches %.1f%% of %d in the mean, %.1f%% at most\n", 100*s.Mean, s.Files, 100*s.Touched)
	}
	fmt.Fprint(w, "\ntransfers:")
	results := make([]string, 0, len(rep.Transfers))
	for k := range rep.Transfers {
		results = append(results, k)
	}
	sort.Strings(results)
	for _, k := range results {
		fmt.Fprintf(w, " %d %s", rep.Transfers[k], k)
	}
	fmt.Fprintln(w)
	for i, b := range rep.Breaches {
		if i == maxBreachesShown {
			fmt.Fprintf(w, "... and %d more\n", len(rep.Breaches)-i)
			break
		}
		fmt.Fprintf(w, "rule %d broken %s\n", b.Rule, b.Text)
	}
	return err
}

func replayCommand() *cobra.Command {
	var show bool
	c := &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay a recorded run on a new controller and compare the actions",
		Long: `Replay the files of a record (folder "record" of a gateway with recorder.on), in order, on a new
controller, and compare its actions with the recorded ones.
Exit status: 0 all actions are the same, 1 some differ, 2 the record cannot be read.`,
		Example: "  eiderhold replay eiderhold-data/record/batches-*",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var each func(*record.Batch)
			if show {
				each = func(b *record.Batch) {
					fmt.Fprintf(cmd.OutOrStdout(), "%d %v\n", b.Number, b.Now)
					for _, e := range b.Events {
						fmt.Fprintf(cmd.OutOrStdout(), "  < %T %+v\n", e, e)
					}
					for _, a := range b.Actions {
						fmt.Fprintf(cmd.OutOrStdout(), "  > %T %+v\n", a, a)
					}
				}
			}
			res, err := record.Replay(args, each)
			if errors.As(err, new(*record.Difference)) {
				return negativeResult{err}
			}
			if err != nil {
				return err
			}
			tornNote := ""
			if res.Truncated {
				tornNote = "; the last file ends within a batch, as after a kill"
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d batches, %d events, %d actions: the same%s\n", res.Batches, res.Events, res.Actions, tornNote)
			return nil
		},
	}
	c.Flags().BoolVar(&show, "show", false, "print every batch with its events and actions")
	return c
}
