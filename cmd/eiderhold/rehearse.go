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
		Short: "Play a scripted day and audit it",
		Long: `Play a scripted day: stand-in nodes and register, gateways as processes of their own,
scripted clients and troubles. Then the seven rules are checked from what went over the
sockets, and service is reported as worth answered in time over worth due.
With --repeat the day is played with that many seeds, and with each value of --vary (or each way
of --shares) in turn, so that they can be compared: a table of service, refusals and how writes
fell on shards.
Exit status: 0 all rules kept, 1 a rule was broken, 2 it could not be played.`,
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
				return fmt.Errorf("--repeat %d: at least 1, and more to compare ways", repeat)
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "eiderhold-day-"); err != nil {
					return err
				}
			}
			log, _, err := telemetry.Logger(os.Stderr, "info")
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
	c.Flags().StringVar(&sharesModes, "shares", "", "none, right or wrong, in the place of the day's shares.told; several with commas, to compare")
	c.Flags().StringArrayVar(&vary, "vary", nil, "KEY=VALUE,VALUE...: a key of the day (site, gateways, shares) or of the gateways' settings; again for each with each")
	c.Flags().IntVar(&repeat, "repeat", 1, "seeds to play the day with, from its own on")
	c.Flags().StringVar(&dir, "dir", "", "folder for records, gateways and their logs; empty: a new one")
	c.Flags().Int64Var(&seed, "seed", 0, "another seed than the day's")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func auditCommand() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "audit DIR",
		Short: "Check the seven rules from the records of a day",
		Long: `Check the seven rules from what stand-ins and clients wrote down of their sockets (the
folder "records" of a rehearsal), and report service. The gateways' own books are not read.
Exit status: 0 all rules kept, 1 a rule was broken, 2 the records cannot be read.`,
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
		return fmt.Errorf("--output %s: text or json", output)
	}
	return nil
}

const maxBreachesShown = 20

// showReport prints an audit; a broken rule is an error of the kind that ran and fell
// short.
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
		Short: "Feed a recorded run to a fresh controller; it must act the same",
		Long: `Feed the files of a record (recorder.on, folder "record" of the gateway), in order, to a
fresh controller, and compare its actions with those recorded.
Exit status: 0 the same, 1 a difference, 2 the record cannot be read.`,
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
			if res.Torn {
				tornNote = "; the last file ends within a batch, as after a kill"
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d batches, %d events, %d actions: the same%s\n", res.Batches, res.Events, res.Actions, tornNote)
			return nil
		},
	}
	c.Flags().BoolVar(&show, "show", false, "print every batch")
	return c
}
