package choices

import (
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/subset"
)

// workingNodes returns the nodes that accept new requests. It includes suspect nodes, so that the suspicion of a node
// does not change the subsets. It returns nil if this node is not among them, because its subset is then undefined.
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

// workingZones returns the number of zones with working nodes; 0: unknown. It is unknown if this node is not connected
// to a majority, since unreachable nodes may still work, or if a node's zone is not a zone of the group.
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
