//! The programs of the serving tier, put together from the libraries of its planes.
