// Package handover connects the two processes that are one node during an upgrade: the predecessor, which is in
// service, and its successor.
//
// The predecessor waits on a Listener. The successor calls Connect, and takes over the state, the socket on which
// clients connect and a Link. Over the Link it then says that it is ready, the predecessor hands over idle client
// connections, and both carry out operators' commands, until one of the processes ends.
package handover
