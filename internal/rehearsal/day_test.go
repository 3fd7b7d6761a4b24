package rehearsal

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestRepositoryDays checks that all days in testdata are valid.
func TestRepositoryDays(t *testing.T) {
	files, _ := filepath.Glob("../../testdata/*.toml")
	for _, dir := range []string{"shares/s[tu]*", "shares/deploy", "placement/*"} {
		more, _ := filepath.Glob("../../testdata/" + dir + ".toml")
		files = append(files, more...)
	}
	if len(files) < 6 {
		t.Fatal(files)
	}
	for _, f := range files {
		if strings.HasSuffix(f, "small.toml") {
			continue
		}
		if _, err := LoadDay(f); err != nil {
			t.Error(err)
		}
	}
}

// TestInvalidDays checks that errors name fields that a trouble does not use and values of shares that are invalid.
func TestInvalidDays(t *testing.T) {
	text, err := os.ReadFile("../../testdata/shares/surge.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"amount = 2.0", "amount = 2.0\ntimes = 3.0", "times: a burst does not use it"},
		{"kind = \"burst\"\nat = \"2s\"\nfor = \"5s\"\ntarget = \"export\"\namount = 2.0", "kind = \"reconnect\"\nat = \"2s\"\nfor = \"5s\"", "for: a reconnect does not use it"},
		{"kind = \"burst\"\nat = \"2s\"\nfor = \"5s\"\ntarget = \"export\"\namount = 2.0", "kind = \"vanish\"\nat = \"2s\"\namount = 2.0", "amount: a vanish does not use it"},
		{`told = "right"`, `told = "left"`, `shares.told = "left": expected none, right or wrong`},
		{`off = 10.0`, `off = 1.0`, ""},
		{`told = "right"`, `told = "wrong"` + "\n#", ""},
		{`id = "node-2"`, `id = "node-3"`, `node "node-3": expected node-0 to node-2`},
		{`id = "enrol"`, `id = "enrols"`, `volume "enrols": the gateways have no module`},
		{`share_of_capacity = "9/10"`, `share_of_capacity = "10/9"`, "share_of_capacity"},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the day", c.from)
		}
		_, err := ParseDay([]byte(changed), "day")
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}

// TestVary checks that only the given keys of the day or of the gateways' settings change, and that errors name an
// invalid key.
func TestVary(t *testing.T) {
	const file = "../../testdata/placement/vanish.toml"
	plain, err := LoadDay(file)
	if err != nil {
		t.Fatal(err)
	}
	days, err := Vary(file, Key{"placement.choice", []string{"0", "3"}})
	if err != nil || len(days) != 2 || days[1].Label != "placement.choice=3" {
		t.Fatalf("variants %+v, %v", days, err)
	}
	for i, want := range []int{0, 3} {
		c, err := days[i].Day.config("g", "http://127.0.0.1:1/nodes", "d")
		if err != nil || c.Placement.Choice != want || c.Rsync.ExtentBytes != 65536 {
			t.Errorf("choice %d, extent %d, %v", c.Placement.Choice, c.Rsync.ExtentBytes, err)
		}
		days[i].Day.Gateways.Settings = plain.Gateways.Settings
		if !reflect.DeepEqual(days[i].Day, plain) {
			t.Errorf("other values changed: %+v", days[i].Day)
		}
	}
	days, err = Vary(file, Key{"site.nodes", []string{"6", "24"}}, Key{"placement.width", []string{"1", "2"}})
	if err != nil || len(days) != 4 || days[2].Day.Site.Nodes != 24 || days[2].Label != "site.nodes=24 placement.width=1" {
		t.Errorf("variants %+v, %v", days, err)
	}
	for key, want := range map[string]string{"placement": "TABLE.KEY", "placement.choyce": "choyce", "site.nodes.more": "no table", "rsync.listen": "listen"} {
		if _, err := Vary(file, Key{key, []string{"x"}}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("key %s: %v", key, err)
		}
	}
	for _, f := range []string{"rack", "full", "burst", "quiet", "slow"} {
		if _, err := LoadDay("../../testdata/placement/" + f + ".toml"); err != nil {
			t.Error(err)
		}
	}
}
