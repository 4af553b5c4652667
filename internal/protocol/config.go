package protocol

import (
	"fmt"
	"maps"
	"net"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// The environment variables that configure a node.
const (
	EnvName      = "ROUTER_NAME"
	EnvListen    = "ROUTER_LISTEN"
	EnvDiscovery = "ROUTER_DISCOVERY"
	EnvConfig    = "ROUTER_CONFIG"
	EnvAdmin     = "ROUTER_ADMIN" // optional: there is no admin listener if both this and the file's entry are missing
	EnvFleet     = "ROUTER_FLEET" // optional: if it is missing, the node belongs to no fleet
)

// Config is the configuration of one node, from its environment and its configuration file.
type Config struct {
	// Name is the name of the node, which stays the same after a restart.
	Name string
	// Listen is the address on which the node listens for clients.
	Listen string
	// Discovery is the address of the discovery service.
	Discovery string
	// AdminListen is the address on which the node listens for operators; "": there is no admin listener.
	AdminListen string
	// Seed is the seed of the node's random numbers.
	Seed uint64
	// Cores is the number of processor cores that the node may use.
	Cores float64
	// MemoryMB is the amount of memory that the node may use, in MiB.
	MemoryMB int
	// Sockets is the number of file descriptors that the node may hold.
	Sockets int
	// Settings are the balancer's settings.
	Settings balancer.Settings
	// NameIndex has the positions of the names in the settings.
	NameIndex NameIndex
	// ConnectTimeout bounds the wait for a new connection to a server.
	ConnectTimeout time.Duration
	// IdleTimeout is the duration after which servers close an idle connection.
	IdleTimeout time.Duration
	// LongestDeadline is the longest deadline of all classes.
	LongestDeadline time.Duration
	// KnownEndpoints is the last endpoint list that the node had; it may be old.
	KnownEndpoints routing.EndpointList
	// KnownEndpointsVersion is discovery's version of KnownEndpoints; -1: the node must ask for the full list.
	KnownEndpointsVersion int64

	file fileIdentity
}

// fileIdentity has the entries of the configuration file that identify the node and cannot change while it runs. Reload
// compares them.
type fileIdentity struct {
	name   string
	listen string
	admin  string
}

// Load reads a node's configuration from its environment and from the file that the variable EnvConfig names.
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

// readEnvironment reads the mandatory environment variables, and returns the path of the configuration file.
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

// Reload reads the configuration again and returns it; c stays unchanged. It returns an error if the new configuration
// is invalid or differs in an entry that cannot change while the node runs.
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
		// Open calls refer to classes, tenants, zones and kinds by their positions, which must stay the same.
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
