package rehearsal

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Variant is a day with changed values of some keys.
type Variant struct {
	Label string // KEY=VALUE, several separated by blanks
	Day   *Day
}

// Key is a key of the script or of the gateways' settings, with the values to try.
type Key struct {
	Name   string // TABLE.KEY
	Values []string
}

// Vary reads a script and returns a variant for each combination of the keys' values; the last key varies fastest.
// A key that begins with site, gateways or shares belongs to the script, any other one to the gateways' settings
// ("placement.choice"). Values are TOML; a value that is not valid TOML is taken as a string.
func Vary(file string, keys ...Key) (list []Variant, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	type variantText struct {
		label string
		text  []byte
	}
	variants := []variantText{{"", text}}
	for _, k := range keys {
		path := strings.Split(k.Name, ".")
		if len(path) < 2 || slices.Contains(path, "") || len(k.Values) == 0 {
			return nil, fmt.Errorf("vary: %s: expected TABLE.KEY=VALUE,..., such as placement.choice=0,3", k.Name)
		}
		var next []variantText
		for _, w := range variants {
			for _, v := range k.Values {
				text, err := setKey(w.text, path, v)
				if err != nil {
					return nil, fmt.Errorf("vary: %s=%s: %w", k.Name, v, err)
				}
				next = append(next, variantText{strings.TrimSpace(w.label + " " + k.Name + "=" + v), text})
			}
		}
		variants = next
	}
	for _, w := range variants {
		d, err := ParseDay(w.text, file)
		if err != nil {
			return nil, fmt.Errorf("vary: %s: %w", w.label, err)
		}
		list = append(list, Variant{w.label, d})
	}
	return list, nil
}

// setKey returns a script's text with the value of one key replaced.
func setKey(text []byte, path []string, value string) ([]byte, error) {
	day := map[string]any{}
	if err := toml.Unmarshal(text, &day); err != nil {
		return nil, err
	}
	v := map[string]any{}
	if toml.Unmarshal([]byte("v = "+value), &v) != nil {
		v["v"] = value
	}
	if slices.Contains([]string{"site", "gateways", "shares"}, path[0]) {
		if err := setPath(day, path, v["v"]); err != nil {
			return nil, err
		}
		return toml.Marshal(day)
	}
	gateways, _ := day["gateways"].(map[string]any)
	settings, _ := gateways["settings"].(string)
	inner := map[string]any{}
	if err := toml.Unmarshal([]byte(settings), &inner); err != nil {
		return nil, fmt.Errorf("gateways.settings: %w", err)
	}
	if err := setPath(inner, path, v["v"]); err != nil {
		return nil, err
	}
	b, err := toml.Marshal(inner)
	if err == nil {
		err = setPath(day, []string{"gateways", "settings"}, string(b))
	}
	if err != nil {
		return nil, err
	}
	return toml.Marshal(day)
}

// setPath sets the value at a path and creates the tables on the path that do not exist.
func setPath(m map[string]any, path []string, v any) error {
	for _, k := range path[:len(path)-1] {
		switch next := m[k].(type) {
		case map[string]any:
			m = next
		case nil:
			table := map[string]any{}
			m[k] = table
			m = table
		default:
			return fmt.Errorf("%s is no table", k)
		}
	}
	m[path[len(path)-1]] = v
	return nil
}
