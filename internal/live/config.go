package live

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"eiderhold/control"
	"eiderhold/internal/wire"
)

// Config is the configuration that the platform gives a host, from the file that BALANCER_CONFIG names.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // 16 hexadecimal digits
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	KnownNodes json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`

	control control.Settings
	conns   wire.ConnectionSettings
	seed    uint64
}

const maxConfigBytes = 16 << 20 // maximum size of the file

// Load reads and validates the configuration file. Where the file leaves out name, listen or discovery, the
// environment variables BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY apply.
func Load(env func(string) string) (*Config, error) {
	file := env("BALANCER_CONFIG")
	if file == "" {
		return nil, fmt.Errorf("BALANCER_CONFIG is not set: expected the path of the configuration file")
	}
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("BALANCER_CONFIG: %s: file of %d bytes: expected at most %d", file, info.Size(), maxConfigBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	c, err := Parse(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

// Parse parses and validates the text of a configuration.
func Parse(text []byte, env func(string) string) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, v := range []struct {
		field    *string
		variable string
	}{{&c.Name, "BALANCER_NAME"}, {&c.Listen, "BALANCER_LISTEN"}, {&c.Discovery, "BALANCER_DISCOVERY"}} {
		if *v.field == "" {
			*v.field = env(v.variable)
		}
	}
	if c.Name == "" {
		return nil, fmt.Errorf("name: empty, and BALANCER_NAME is not set")
	}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, port, err := net.SplitHostPort(a.addr); err != nil || port == "" {
			return nil, fmt.Errorf("%s: %q: expected address:port", a.name, a.addr)
		}
	}
	var err error
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q: expected up to 16 hexadecimal digits", c.Seed)
	}
	if l := c.Limits; !(l.Cores > 0) || !(l.MemoryMB >= 16) || l.Sockets < 64 {
		return nil, fmt.Errorf("limits: cores %v, memory_mb %v, sockets %d: expected more than 0, 16 or more, 64 or more",
			l.Cores, l.MemoryMB, l.Sockets)
	}
	if c.control, err = wire.ParseSettings(c.Settings); err != nil {
		return nil, err
	}
	if c.conns, err = wire.ParseConnectionSettings(c.Settings); err != nil {
		return nil, err
	}
	return c, nil
}
