// Package transport moves HTTP/1.1 between clients and upstream servers.
//
// A Frontend accepts client connections, parses and validates each request, passes it as a call to a CallHandler and
// writes the response. An UpstreamTransport sends the handler's attempts and health checks to servers over pooled
// connections. An EndpointWatcher follows the endpoint list at the discovery service.
//
// A request is sent to a server at most once per attempt: nothing below the handler retries. What an attempt ended
// with is told by how many of its bytes were written, so that the handler knows whether the server can have run it.
package transport
