package membership

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"eiderhold/control"
)

func update(rev uint64, all bool, targets ...string) Update {
	u := Update{Rev: rev, All: all}
	for _, t := range targets {
		u.Targets = append(u.Targets, json.RawMessage(t))
	}
	return u
}

func target(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"10.0.0.1:1","pod_group":3,"state":%q,"capacity_hint":1,"boot_ms":7}`, uid, state)
}

// TestApply applies a list, changes, repeated and older changes, a gap in revisions, and a whole list after it.
func TestApply(t *testing.T) {
	l := New(1 << 20)
	for _, c := range []struct {
		u           Update
		result      Result
		nodes, held int
	}{
		{update(5, true, target("a", "active"), target("b", "leaving")), Applied, 2, 2},
		{update(5, false), Unchanged, 0, 2},
		{update(4, false, target("a", "left")), Outdated, 0, 2},
		{update(4, false), Outdated, 0, 2},
		{update(5, false, target("b", "leaving")), Applied, 1, 2},
		{update(6, false, target("a", "left")), Applied, 1, 1},
		{update(9, false, target("c", "active")), Applied, 1, 2},
		{update(3, true, target("d", "active")), Applied, 1, 1}, // the whole list: other nodes are removed
	} {
		nodes, skipped, v := l.Apply(c.u)
		if v != c.result || len(nodes) != c.nodes || l.Len() != c.held || skipped.Count != 0 || v == Applied && l.Rev() != c.u.Rev {
			t.Errorf("rev %d: %+v, %v, result %d, %d nodes", c.u.Rev, nodes, skipped, v, l.Len())
		}
	}
	nodes, _, _ := l.Apply(update(10, false, target("e", "leaving")))
	if n := nodes[0]; n.ID != "e" || n.Shard != 3 || n.State != control.Draining || n.Endpoint != "10.0.0.1:1" || n.BootMS != 7 {
		t.Errorf("%+v", n)
	}
}

// TestSkippedEntries checks that invalid entries are reported with their index, and that the others apply.
func TestSkippedEntries(t *testing.T) {
	l := New(1 << 20)
	_, skipped, _ := l.Apply(update(1, true, `{"uid":""}`, `{"uid":7}`, `3`, target("odd", "asleep"), target("good", "active"),
		`{"uid":"neg","endpoint":"x:1","pod_group":-1,"state":"active"}`, `{"uid":"nowhere","endpoint":"x","state":"active"}`,
		`{"uid":"late","endpoint":"x:1","state":"active","boot_ms":-1}`))
	if skipped.Count != 7 || l.Len() != 1 || !strings.Contains(skipped.First[3].Error(), "targets[3]: odd") {
		t.Errorf("%v, %d nodes", skipped, l.Len())
	}
}

// TestListBounded guards against memory that grows with the node list: of nodes with long texts as many are taken as fit,
// and of the errors of skipped entries the first are kept.
func TestListBounded(t *testing.T) {
	const limit = 100 * NodeBytes
	l := New(limit)
	for rev := uint64(1); rev < 50; rev++ {
		u := update(rev, false, `{"uid":"z","endpoint":"x:1","state":"active","az":"`+strings.Repeat("z", maxTextBytes+1)+`"}`)
		for k := range 100 {
			u.Targets = append(u.Targets, json.RawMessage(target(fmt.Sprintf("n-%d-%d-%s", rev, k, strings.Repeat("x", 200)), "active")))
		}
		_, skipped, _ := l.Apply(u)
		if l.Bytes() > limit || l.Len() == 0 || l.Len() >= 100 || skipped.Count == 0 || len(skipped.First) > maxFirstErrors {
			t.Fatalf("rev %d: %d nodes, %d bytes, %d skipped, %d errors", rev, l.Len(), l.Bytes(), skipped.Count, len(skipped.First))
		}
	}
	full := l.Len()
	for uid := range l.nodes {
		l.Apply(update(100, false, fmt.Sprintf(`{"uid":%q,"state":"left"}`, uid)))
	}
	if l.Len() != 0 || l.Bytes() != 0 {
		t.Fatalf("%d nodes, %d bytes after all %d have left", l.Len(), l.Bytes(), full)
	}
}
