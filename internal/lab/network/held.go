package network

// HeldBy names the connections of which the program on a machine holds an end,
// sorted. One whose other end heard nothing of its closing is none of them.
func (n *Net) HeldBy(host string) []string {
	var ids []string
	n.forEachConn(func(c *conn) {
		for i := range c.ends {
			if e := &c.ends[i]; e.held && e.machine() == host {
				ids = append(ids, c.id)
			}
		}
	})
	return ids
}
