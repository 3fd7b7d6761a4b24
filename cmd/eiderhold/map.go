//go:build !hostonly

package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"eiderhold/extentmap"
	"eiderhold/internal/mapfile"
)

// maxMapRuns is the largest number of runs in a map that commands read.
const maxMapRuns = 1 << 28

func mapCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "map",
		Short: "Inspect snapshots of the extent map",
		Long: `Inspect snapshots of the extent map. A snapshot records, for one version of the map, which shard and which
epoch of its node hold each extent of a volume. The layout is in docs/format/mapfile.md.`,
		Example: "  eiderhold map show map.snapshot\n  eiderhold map lookup map.snapshot records 1234",
	}
	c.AddCommand(mapShow(), mapLookup(), mapDiff(), mapVerify(), mapExport(), mapImport())
	return c
}

// readMap reads a snapshot. Damaged blocks are reported on w and left out.
func readMap(w io.Writer, file string) (mapfile.Header, *extentmap.View, []mapfile.Damage, error) {
	m, err := extentmap.New(maxMapRuns)
	if err != nil {
		return mapfile.Header{}, nil, nil, err
	}
	h, damaged, _, err := mapfile.Load(file, m)
	if err != nil {
		return h, nil, nil, err
	}
	for _, d := range damaged {
		_, _ = fmt.Fprintf(w, "%s: at byte %d: %s: what lies there is left out\n", file, d.Offset, d.Why)
	}
	return h, m.View(), damaged, nil
}

// mapSummary is the output of map show.
type mapSummary struct {
	mapfile.Header
	Bytes   uint64           `json:"bytes"`
	Volumes []mapCounts      `json:"volumes"`
	Homes   []mapCounts      `json:"homes"`
	Damaged []mapfile.Damage `json:"damaged,omitempty"`
}

// mapCounts holds the counts of a volume, or of an epoch of a shard.
type mapCounts struct {
	Volume string `json:"volume,omitempty"`
	Shard  *int32 `json:"shard,omitempty"`
	Epoch  uint32 `json:"epoch,omitempty"`
	extentmap.Sum
}

func mapShow() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:     "show FILE",
		Short:   "Show the contents of a snapshot by volume and by shard",
		Example: "  eiderhold map show map.snapshot --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			h, v, damaged, err := readMap(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			s := mapSummary{Header: h, Bytes: mapfile.HeaderBytes + uint64(h.Blocks)*mapfile.BlockBytes, Damaged: damaged}
			volumes := map[string]extentmap.Sum{}
			v.All(func(r extentmap.Run) bool {
				if r.Shard != extentmap.NoShard {
					sum := volumes[r.Volume]
					volumes[r.Volume] = extentmap.Sum{Runs: sum.Runs + 1, Extents: sum.Extents + r.To - r.From}
				}
				return true
			})
			for _, name := range slices.Sorted(maps.Keys(volumes)) {
				s.Volumes = append(s.Volumes, mapCounts{Volume: name, Sum: volumes[name]})
			}
			homes := v.SumByLocation()
			for _, h := range slices.SortedFunc(maps.Keys(homes), func(a, b extentmap.Location) int {
				return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Epoch, b.Epoch))
			}) {
				s.Homes = append(s.Homes, mapCounts{Shard: &h.Shard, Epoch: h.Epoch, Sum: homes[h]})
			}
			if output == "json" {
				return printJSON(cmd.OutOrStdout(), s)
			}
			return printMap(cmd.OutOrStdout(), args[0], &s)
		},
	}
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func printMap(w io.Writer, file string, s *mapSummary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s: version %d of term %d, %s extents in %s runs, %d blocks, %s\n\nvolume\truns\textents\n",
		file, s.Version, s.Term, humanize.Comma(int64(s.Extents)), humanize.Comma(int64(s.Runs)), s.Blocks, humanize.IBytes(s.Bytes))
	for _, v := range s.Volumes {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", v.Volume, v.Runs, v.Extents)
	}
	_, _ = fmt.Fprint(t, "\nshard\tepoch\truns\textents\n")
	for _, h := range s.Homes {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", shardName(*h.Shard), h.Epoch, h.Runs, h.Extents)
	}
	return t.Flush()
}

func shardName(shard int32) string {
	if shard == extentmap.NoShard {
		return "nowhere"
	}
	return strconv.Itoa(int(shard))
}

func mapLookup() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "lookup FILE VOLUME EXTENT",
		Short: "Show where an extent is stored",
		Long: `Show the shard and epoch that hold an extent, and the range of extents around it with the same location.
Exit status: 0 the extent was found, 1 it is not in the snapshot, 2 the snapshot could not be read.`,
		Example: "  eiderhold map lookup map.snapshot records 1234",
		Args:    cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			extent, err := strconv.ParseUint(args[2], 10, 64)
			if err != nil {
				return fmt.Errorf("EXTENT %q: expected a number from 0 on", args[2])
			}
			_, v, _, err := readMap(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			var found *extentmap.Run
			if extent < 1<<64-1 {
				v.Runs(extentmap.Range{Volume: args[1], From: extent, To: extent + 1}, func(r extentmap.Run) bool { found = &r; return false })
			}
			switch {
			case found == nil:
				return negativeResult{fmt.Errorf("%s: extent %d of %q is not known there", args[0], extent, args[1])}
			case output == "json":
				return printJSON(cmd.OutOrStdout(), found)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s %d: shard %s, epoch %d, as of version %d; extents %d to %d lie there\n",
				found.Volume, extent, shardName(found.Shard), found.Epoch, found.Version, found.From, found.To-1)
			return err
		},
	}
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func mapDiff() *cobra.Command {
	var output string
	var maxRanges int
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show which extents have different locations in two snapshots",
		Long: `Show the ranges that differ between two snapshots: those that were moved, are known to only one, or are on
another epoch of their node.
Exit status: 0 no range differs, 1 some ranges differ, 2 a snapshot could not be read.`,
		Example: "  eiderhold map diff yesterday.snapshot today.snapshot --most 20",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if maxRanges < 1 {
				return fmt.Errorf("--most %d: expected at least 1", maxRanges)
			}
			_, oldMap, _, err := readMap(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			_, newMap, _, err := readMap(cmd.ErrOrStderr(), args[1])
			if err != nil {
				return err
			}
			var list []extentmap.Difference
			ranges, extents := 0, uint64(0)
			extentmap.Diff(oldMap, newMap, func(d extentmap.Difference) bool {
				if len(list) < maxRanges {
					list = append(list, d)
				}
				ranges++
				extents += d.To - d.From
				return true
			})
			if output == "json" {
				err = printJSON(cmd.OutOrStdout(), map[string]any{"ranges": ranges, "extents": extents, "first": list})
			} else {
				err = printDiff(cmd.OutOrStdout(), list, ranges, extents)
			}
			if err == nil && ranges > 0 {
				return negativeResult{errors.New("the snapshots differ")}
			}
			return err
		},
	}
	c.Flags().IntVar(&maxRanges, "most", 100, "most ranges to show")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func printDiff(w io.Writer, list []extentmap.Difference, ranges int, extents uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(list) > 0 {
		_, _ = fmt.Fprintln(t, "volume\tfrom\tto\twas\tis\tversions")
	}
	name := func(known bool, h extentmap.Location) string {
		if !known {
			return "not known"
		}
		return fmt.Sprintf("%s.%d", shardName(h.Shard), h.Epoch)
	}
	for _, d := range list {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%d, %d\n", d.Volume, d.From, d.To-1, name(d.WasKnown, d.Was), name(d.IsKnown, d.Is), d.WasAt, d.IsAt)
	}
	_, _ = fmt.Fprintf(t, "%d ranges of %d extents differ", ranges, extents)
	if more := ranges - len(list); more > 0 {
		_, _ = fmt.Fprintf(t, "; %d more ranges are not shown (--most)", more)
	}
	_, _ = fmt.Fprintln(t)
	return t.Flush()
}

func mapVerify() *cobra.Command {
	return &cobra.Command{
		Use:   "verify FILE",
		Short: "Check every block of a snapshot",
		Long: `Check the header and every block of a snapshot. A gateway that starts from a damaged snapshot ignores the damaged
blocks and requests their extents when they are needed.
Exit status: 0 the snapshot is intact, 1 blocks are damaged or runs are missing, 2 the file is not a snapshot.`,
		Example: "  eiderhold map verify map.snapshot",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			h, v, damaged, err := readMap(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d of term %d: %d of %d blocks, %d of %d runs\n",
				args[0], h.Version, h.Term, int(h.Blocks)-len(damaged), h.Blocks, v.Len(), h.Runs)
			if len(damaged) > 0 || uint64(v.Len()) != h.Runs {
				return negativeResult{fmt.Errorf("%s is damaged", args[0])}
			}
			return nil
		},
	}
}

func mapExport() *cobra.Command {
	return &cobra.Command{
		Use:   "export FILE OUT.parquet",
		Short: "Write a snapshot as a columnar file (Parquet) with one row for each run",
		Long: `Write a snapshot as a columnar file (Apache Parquet) with the columns volume, from, to (one after the last
extent), shard (-1: nowhere), epoch and version. The term and version of the map are in the file's metadata.`,
		Example: "  eiderhold map export map.snapshot map.parquet",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, v, damaged, err := readMap(cmd.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			rows, err := mapfile.Export(args[1], v)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: %d rows\n", args[1], rows)
			if len(damaged) > 0 {
				return negativeResult{fmt.Errorf("%s is damaged: the export is incomplete", args[0])}
			}
			return nil
		},
	}
}

func mapImport() *cobra.Command {
	return &cobra.Command{
		Use:     "import IN.parquet FILE",
		Short:   "Write a file of map export as a snapshot",
		Example: "  eiderhold map import map.parquet map.snapshot",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := extentmap.New(maxMapRuns)
			if err != nil {
				return err
			}
			if err := mapfile.Import(args[0], m); err != nil {
				return err
			}
			h, err := mapfile.Save(args[1], m.View())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d of term %d, %d runs\n", args[1], h.Version, h.Term, h.Runs)
			return err
		},
	}
}
