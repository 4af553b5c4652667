package protocol

import (
	"fmt"
	"maps"
	"net"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// The environment variables that tell a node what it is.
const (
	EnvName      = "ROUTER_NAME"
	EnvListen    = "ROUTER_LISTEN"
	EnvDiscovery = "ROUTER_DISCOVERY"
	EnvConfig    = "ROUTER_CONFIG"
	EnvAdmin     = "ROUTER_ADMIN" // optional: without it, or an entry in the file, there is no admin listener
	EnvFleet     = "ROUTER_FLEET" // optional: without it the node belongs to no fleet
)

// Config is the configuration of one node, from its environment and its file.
type Config struct {
	// Name is the node's own, the same after a restart.
	Name string
	// Listen is the address on which clients connect.
	Listen string
	// Discovery is the address of discovery.
	Discovery string
	// AdminListen is the address on which operators connect; "": there is no admin listener.
	AdminListen string
	// Seed starts the random draws.
	Seed uint64
	// Cores is how many processor cores the node may use.
	Cores float64
	// MemoryMB is how much memory the node may use, in MiB.
	MemoryMB int
	// Sockets is how many file descriptors the node may hold.
	Sockets int
	// Settings are those of the balancer.
	Settings balancer.Settings
	// NameIndex has the positions of the settings' names.
	NameIndex NameIndex
	// ConnectTimeout bounds the wait for a new connection to a server.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before the server closes it.
	IdleTimeout time.Duration
	// LongestDeadline is that of the class that has the longest.
	LongestDeadline time.Duration
	// KnownEndpoints is the endpoint list as the node had it last, maybe long ago.
	KnownEndpoints routing.EndpointList
	// KnownEndpointsVersion is discovery's version of that list; -1: discovery is to be asked for the whole list.
	KnownEndpointsVersion int64

	file fileIdentity
}

// fileIdentity is what the file says of the node, as it stands there, for Reload to compare.
type fileIdentity struct {
	name   string
	listen string
	admin  string
}

// Load reads a node's configuration from its environment and the file that this names.
func Load(getenv func(string) string, readFile func(string) ([]byte, error)) (*Config, error) {
	c := &Config{}
	path, err := c.readEnvironment(getenv)
	if err != nil {
		return nil, err
	}
	data, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := c.parseFile(data); err != nil {
		return nil, fmt.Errorf("configuration: %w, in %s", err, path)
	}
	if addr := getenv(EnvAdmin); addr != "" {
		c.AdminListen = addr
	}
	if c.AdminListen == "" {
		return c, nil
	}
	if _, _, err := net.SplitHostPort(c.AdminListen); err != nil {
		return nil, fmt.Errorf("admin, or variable %s: %w", EnvAdmin, err)
	}
	return c, nil
}

// readEnvironment takes in the variables that must be there, and returns the path of the file.
func (c *Config) readEnvironment(getenv func(string) string) (path string, err error) {
	for _, variable := range []struct {
		name      string
		value     *string
		isAddress bool
	}{
		{name: EnvName, value: &c.Name},
		{name: EnvListen, value: &c.Listen, isAddress: true},
		{name: EnvDiscovery, value: &c.Discovery, isAddress: true},
		{name: EnvConfig, value: &path},
	} {
		*variable.value = getenv(variable.name)
		if *variable.value == "" {
			return "", fmt.Errorf("variable %s is missing", variable.name)
		}
		if !variable.isAddress {
			continue
		}
		if _, _, err := net.SplitHostPort(*variable.value); err != nil {
			return "", fmt.Errorf("variable %s: %w", variable.name, err)
		}
	}
	return path, nil
}

// Reload reads the configuration again. The new one holds as a whole or, with an error, not at all: what a running node
// cannot change must not differ.
func (c *Config) Reload(getenv func(string) string, readFile func(string) ([]byte, error)) (*Config, error) {
	next, err := Load(getenv, readFile)
	if err != nil {
		return nil, err
	}
	for _, item := range []struct {
		name string
		same bool
	}{
		{"name", next.file.name == c.file.name},
		{"listen", next.file.listen == c.file.listen},
		{"admin", next.file.admin == c.file.admin},
		// Open calls carry positions in these lists.
		{"a name in settings.classes", maps.Equal(next.NameIndex.Classes, c.NameIndex.Classes)},
		{"a name in settings.tenants", maps.Equal(next.NameIndex.Tenants, c.NameIndex.Tenants)},
		{"a name in settings.zones", maps.Equal(next.NameIndex.Zones, c.NameIndex.Zones)},
		{"a name in settings.kinds", maps.Equal(next.NameIndex.Kinds, c.NameIndex.Kinds)},
	} {
		if !item.same {
			return nil, fmt.Errorf("configuration: %s cannot change in a running node", item.name)
		}
	}
	return next, nil
}
