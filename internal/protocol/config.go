package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"strconv"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
	"olivebridge/internal/settings"
)

// The variables that tell a node what it is.
const (
	EnvName      = "ROUTER_NAME"
	EnvListen    = "ROUTER_LISTEN"
	EnvDiscovery = "ROUTER_DISCOVERY"
	EnvConfig    = "ROUTER_CONFIG"
	EnvAdmin     = "ROUTER_ADMIN" // may be missing: no operators' door
	EnvFleet     = "ROUTER_FLEET" // may be missing: the node knows of no fleet
)

// Config is what one node is told at its start.
type Config struct {
	Name, Listen, Discovery string
	AdminListen             string // the operators' address; "": none
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Settings                balancer.Settings
	NameIndex               NameIndex
	ConnectTimeout          time.Duration // of a new connection to a peer
	IdleTimeout             time.Duration // peers close a connection idle for this long
	LongestDeadline         time.Duration
	KnownEndpoints          routing.EndpointList
	KnownEndpointsVersion   int64

	fileName, fileListen, fileAdmin string // as the file has them
}

// longest bounds times of the settings: a few of one do not overflow.
const longest = math.MaxInt64 / 16

type named struct {
	Name string `json:"name"`
}

type configJSON struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"admin"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

type settingsJSON struct {
	Classes []named  `json:"classes"`
	Tenants []named  `json:"tenants"`
	Zones   []string `json:"zones"`
	Kinds   []string `json:"kinds"`
	Limits  struct {
		ConnectTimeout time.Duration `json:"connect_timeout"`
		IdleClose      time.Duration `json:"idle_close"`
	} `json:"limits"`
}

// Load reads a node's configuration from its environment and the file that
// this names.
func Load(getenv func(string) string, readFile func(string) ([]byte, error)) (*Config, error) {
	c := &Config{}
	var path string
	for _, v := range []struct {
		name    string
		to      *string
		address bool
	}{{EnvName, &c.Name, false}, {EnvListen, &c.Listen, true}, {EnvDiscovery, &c.Discovery, true},
		{EnvConfig, &path, false}} {
		if *v.to = getenv(v.name); *v.to == "" {
			return nil, fmt.Errorf("variable %s is missing", v.name)
		}
		if !v.address {
			continue
		}
		if _, _, err := net.SplitHostPort(*v.to); err != nil {
			return nil, fmt.Errorf("variable %s: %w", v.name, err)
		}
	}
	data, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := c.parse(data); err != nil {
		return nil, fmt.Errorf("configuration: %w, in %s", err, path)
	}
	if a := getenv(EnvAdmin); a != "" {
		c.AdminListen = a
	}
	if c.AdminListen == "" {
		return c, nil
	}
	if _, _, err := net.SplitHostPort(c.AdminListen); err != nil {
		return nil, fmt.Errorf("admin, or variable %s: %w", EnvAdmin, err)
	}
	return c, nil
}

// Reload reads the configuration again. The new one holds as a whole or, with
// an error, not at all: what a running node cannot change must not differ.
func (c *Config) Reload(getenv func(string) string, readFile func(string) ([]byte, error)) (*Config, error) {
	n, err := Load(getenv, readFile)
	if err != nil {
		return nil, err
	}
	for _, v := range []struct {
		name string
		same bool
	}{
		{"name", n.fileName == c.fileName}, {"listen", n.fileListen == c.fileListen}, {"admin", n.fileAdmin == c.fileAdmin},
		// calls in hand carry places in these lists
		{"a name in settings.classes", maps.Equal(n.NameIndex.Classes, c.NameIndex.Classes)},
		{"a name in settings.tenants", maps.Equal(n.NameIndex.Tenants, c.NameIndex.Tenants)},
		{"a name in settings.zones", maps.Equal(n.NameIndex.Zones, c.NameIndex.Zones)},
		{"a name in settings.kinds", maps.Equal(n.NameIndex.Kinds, c.NameIndex.Kinds)},
	} {
		if !v.same {
			return nil, fmt.Errorf("configuration: %s cannot change in a running node", v.name)
		}
	}
	return n, nil
}

func (c *Config) parse(data []byte) error {
	var in configJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	c.fileName, c.fileListen, c.fileAdmin, c.AdminListen = in.Name, in.Listen, in.Admin, in.Admin
	if in.Discovery != "" { // the file may be newer than the environment, which cannot change
		c.Discovery = in.Discovery
	}
	_, _, err := net.SplitHostPort(c.Discovery)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	c.Cores, c.MemoryMB, c.Sockets = in.Limits.Cores, in.Limits.MemoryMB, in.Limits.Sockets
	if c.Cores <= 0 || c.MemoryMB <= 0 || c.Sockets <= 0 {
		return errors.New("limits: cores, memory_mb or sockets missing")
	}
	if len(in.Settings) == 0 {
		return errors.New("settings missing")
	}
	if c.Settings, err = settings.DecodeJSON(in.Settings); err != nil {
		return err
	}
	c.Settings.PollDiscovery = true // on sockets no list comes unasked, whatever the simulator's deployment does
	var set settingsJSON
	if err := json.Unmarshal(in.Settings, &set); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.ConnectTimeout, c.IdleTimeout = min(set.Limits.ConnectTimeout, longest), min(set.Limits.IdleClose, longest)
	if c.ConnectTimeout <= 0 {
		return errors.New("settings: limits.connect_timeout: missing, or not above zero")
	}
	if c.IdleTimeout <= 0 {
		return errors.New("settings: limits.idle_close: missing, or not above zero")
	}
	if len(set.Classes) != len(c.Settings.Classes) || len(set.Tenants) != len(c.Settings.Tenants) {
		return errors.New("settings: classes or tenants stand twice")
	}
	for _, list := range []struct {
		path  string
		names []string
		at    *map[string]int
	}{{"classes", namesOf(set.Classes), &c.NameIndex.Classes}, {"tenants", namesOf(set.Tenants), &c.NameIndex.Tenants},
		{"zones", set.Zones, &c.NameIndex.Zones}, {"kinds", set.Kinds, &c.NameIndex.Kinds}} {
		if *list.at, err = places(list.path, list.names); err != nil {
			return err
		}
	}
	for _, class := range c.Settings.Classes {
		c.NameIndex.Methods = append(c.NameIndex.Methods, methodOf(class.Idempotency))
		c.LongestDeadline = max(c.LongestDeadline, class.Deadline)
	}
	if len(in.Known) > 0 {
		if c.KnownEndpoints, c.KnownEndpointsVersion, err = c.NameIndex.ParseEndpoints(in.Known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	return nil
}

func namesOf(list []named) (names []string) {
	for _, item := range list {
		names = append(names, item.Name)
	}
	return names
}

// places are those of names in a list of the settings. One that is missing would fit whoever gives none, and one that
// stands twice would hide its first place.
func places(path string, names []string) (map[string]int, error) {
	at := map[string]int{}
	for i, name := range names {
		if _, twice := at[name]; twice || name == "" {
			return nil, fmt.Errorf("settings: %s.%d: its name is missing, or stands twice: %q", path, i, name)
		}
		at[name] = i
	}
	return at, nil
}
