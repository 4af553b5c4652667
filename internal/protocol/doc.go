// Package protocol is the edge to the platform: its headers, its environment variables and configuration, its endpoint
// lists, and what a server's response means. The platform's own terms end here: what the package returns is in the
// terms of the balancer. It takes out only the fields that decisions need; all else is forwarded as it came.
package protocol
