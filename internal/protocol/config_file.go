package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"olivebridge/internal/settings"
)

// configJSON is the JSON form of the configuration file. Errors of encoding/json contain the names of the type and of
// its fields.
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

// parseFile sets the fields of c that the configuration file determines.
func (c *Config) parseFile(data []byte) error {
	var in configJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	c.file = fileIdentity{name: in.Name, listen: in.Listen, admin: in.Admin}
	c.AdminListen = in.Admin
	if in.Discovery != "" { // the file has precedence: it may be newer than the environment, which cannot change
		c.Discovery = in.Discovery
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	c.Seed = seed
	c.Cores = in.Limits.Cores
	c.MemoryMB = in.Limits.MemoryMB
	c.Sockets = in.Limits.Sockets
	if c.Cores <= 0 || c.MemoryMB <= 0 || c.Sockets <= 0 {
		return errors.New("limits: cores, memory_mb and sockets must be present and above zero")
	}
	if err := c.parseSettings(in.Settings); err != nil {
		return err
	}
	return c.parseKnownEndpoints(in.Known)
}

func (c *Config) parseSettings(data json.RawMessage) error {
	if len(data) == 0 {
		return errors.New("settings missing")
	}
	node, err := settings.DecodeNode(data)
	if err != nil {
		return err
	}
	c.Settings = node.Balancer
	c.Settings.PollDiscovery = true // always: over sockets, discovery does not push updates
	c.NameIndex = newNameIndex(node)
	c.ConnectTimeout = node.ConnectTimeout
	c.IdleTimeout = node.IdleTimeout
	for _, class := range c.Settings.Classes {
		c.LongestDeadline = max(c.LongestDeadline, class.Deadline)
	}
	return nil
}

func (c *Config) parseKnownEndpoints(data json.RawMessage) error {
	if len(data) == 0 {
		return nil
	}
	known, version, err := c.NameIndex.ParseEndpoints(data)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.KnownEndpoints = known
	c.KnownEndpointsVersion = version
	return nil
}
