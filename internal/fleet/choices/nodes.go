package choices

import (
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/subset"
)

// workingNodes returns the nodes that take new requests, a suspect one included, so that a choice does not follow a
// suspicion. It returns none if this node is not among them: then it cannot say what its part is.
func workingNodes(view *member.View) (nodes []subset.Node) {
	self := false
	for _, m := range view.Members {
		if m.State == member.Alive || m.State == member.Suspect {
			nodes = append(nodes, subset.Node{Name: m.Name, Zone: m.Zone})
			self = self || m.Name == view.Self
		}
	}
	if !self {
		return nil
	}
	return nodes
}

// workingZones returns in how many zones nodes work; 0: unknown. A node that is cut off from most cannot say, since
// those that it does not hear may work, nor can one that has members in zones which the group does not know.
func (s *Service) workingZones(view *member.View, nodes []subset.Node) int {
	if len(nodes) == 0 || !view.Partition().Majority {
		return 0
	}
	zones := map[string]bool{}
	for _, node := range nodes {
		if _, known := s.config.Zones[node.Zone]; !known {
			return 0
		}
		zones[node.Zone] = true
	}
	return len(zones)
}
