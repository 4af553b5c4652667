// Package transport moves HTTP/1.1 between clients and upstream servers.
//
// A Frontend accepts client connections, parses and validates each request, passes it as a call to a CallHandler and
// writes the response. An UpstreamTransport sends the handler's attempts and health checks to servers over pooled
// connections. An EndpointWatcher follows the endpoint list at the discovery service.
//
// An attempt sends its request to one server, at most once; only the handler retries. The result of an attempt depends
// on the number of request bytes that were written, which shows the handler whether the server can have executed the
// request.
package transport
