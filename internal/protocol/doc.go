// Package protocol implements the platform's interfaces: its headers, environment variables, configuration, endpoint
// lists and the classification of server responses. It translates the platform's terms into those of the balancer,
// which all returned values use. It parses only the fields that routing needs; everything else is forwarded unchanged.
package protocol
