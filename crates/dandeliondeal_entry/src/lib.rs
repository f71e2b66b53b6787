//! The entry instance: caller API, endpoint client, peer server.
