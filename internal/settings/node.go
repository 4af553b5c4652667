package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"olivebridge/balancer"
)

// maxConnDuration bounds the timeouts of connections, so that small multiples do not overflow.
const maxConnDuration = math.MaxInt64 / 16

// Node has the settings of a node on sockets: those of its balancer, and those that only sockets need.
type Node struct {
	Balancer balancer.Settings
	// Classes has the position of each class by its name.
	Classes map[string]int
	// Tenants has the position of each tenant by its name; empty: there are none.
	Tenants map[string]int
	// Zones has the position of each zone by its name.
	Zones map[string]int
	// Kinds has the position of each kind of machine by its name.
	Kinds map[string]int
	// ConnectTimeout bounds the wait for a new connection to a server. It is above zero.
	ConnectTimeout time.Duration
	// IdleTimeout is the duration after which servers close an idle connection. It is above zero.
	IdleTimeout time.Duration
}

type named struct {
	Name string `json:"name"`
}

// settingsJSON has the settings that the text form lacks: names as they are written, and the timeouts of connections.
// Errors of encoding/json contain the names of the type and of its fields.
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

// DecodeNode decodes a node's settings from one nested JSON object.
func DecodeNode(data []byte) (Node, error) {
	var n Node
	var err error
	if n.Balancer, err = decodeJSON(data); err != nil {
		return Node{}, err
	}
	var in settingsJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return Node{}, fmt.Errorf("settings: %w", err)
	}
	n.ConnectTimeout = min(in.Limits.ConnectTimeout, maxConnDuration)
	n.IdleTimeout = min(in.Limits.IdleClose, maxConnDuration)
	if n.ConnectTimeout <= 0 {
		return Node{}, errors.New("settings: limits.connect_timeout: missing, or not above zero")
	}
	if n.IdleTimeout <= 0 {
		return Node{}, errors.New("settings: limits.idle_close: missing, or not above zero")
	}
	// encoding/json matches names in any letter case, unlike the text form: it would accept "Classes" beside "classes".
	if len(in.Classes) != len(n.Balancer.Classes) || len(in.Tenants) != len(n.Balancer.Tenants) {
		return Node{}, errors.New("settings: classes or tenants given more than once, in different letter case")
	}
	if err := n.indexNames(in); err != nil {
		return Node{}, err
	}
	return n, nil
}

func (n *Node) indexNames(in settingsJSON) error {
	for _, list := range []struct {
		path  string
		names []string
		index *map[string]int
	}{
		{"classes", itemNames(in.Classes), &n.Classes},
		{"tenants", itemNames(in.Tenants), &n.Tenants},
		{"zones", in.Zones, &n.Zones},
		{"kinds", in.Kinds, &n.Kinds},
	} {
		index, err := positionsByName(list.path, list.names)
		if err != nil {
			return err
		}
		*list.index = index
	}
	return nil
}

func itemNames(items []named) []string {
	var names []string
	for _, item := range items {
		names = append(names, item.Name)
	}
	return names
}

// positionsByName returns the position of each name in a list of the settings. An empty name is an error, since
// requests without a name would match it. A duplicate is an error, since it would hide the first position.
func positionsByName(path string, names []string) (map[string]int, error) {
	index := map[string]int{}
	for i, name := range names {
		if _, twice := index[name]; twice || name == "" {
			return nil, fmt.Errorf("settings: %s.%d: its name is missing, or stands twice: %q", path, i, name)
		}
		index[name] = i
	}
	return index, nil
}
