"""Stand-ins for the cases of the review: a runner process, a link, clients and the platform."""
