//! Runs the commands of the operators' documentation as separate processes.

mod page;

#[test]
fn the_install_page_works_as_written() {
    page::run(include_str!("../../../docs/install.md"), "install");
}

#[test]
fn the_new_market_page_works_as_written() {
    page::run(include_str!("../../../docs/new-market.md"), "new-market");
}
