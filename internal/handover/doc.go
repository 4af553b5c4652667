// Package handover connects the two processes of one node during an upgrade: the predecessor, which is in service, and
// its successor.
//
// The predecessor waits on a Listener. The successor calls Connect and receives the predecessor's state, its listening
// socket for clients and a Link. On the Link the successor then reports that it is ready, the predecessor sends idle
// client connections, and each process forwards operators' commands to the other, until one of the processes ends.
package handover
