//! Runs the platform's stand-ins alone and writes settings for daemons that use them.

use std::path::PathBuf;

use clap::Parser;
use teaselcroft_standins::{
    OPERATOR_KEY, RunContext, Runtime, Site, StandIns, customer_key, plan_daemons, register_daemons,
};

const CUSTOMERS: [&str; 2] = ["c1", "c2"];

/// Runs the platform's stand-ins alone and writes settings for daemons that use them.
#[derive(Debug, Parser)]
#[command(name = "local-platform", version)]
struct Arguments {
    /// The site: reservoir or library.
    #[arg(long, default_value = "reservoir")]
    site: Site,

    /// Number of daemons to write settings for.
    #[arg(long, default_value_t = 3)]
    daemons: usize,

    /// Folder for the settings and a shell file with addresses and keys.
    #[arg(long, value_name = "FOLDER")]
    folder: PathBuf,

    /// How long to run, in seconds.
    #[arg(long, default_value_t = 3_600)]
    seconds: u64,
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = Runtime::start()?;
    let context = std::sync::Arc::new(RunContext::new(runtime.executor()));
    let standins = smol::block_on(StandIns::start(&context, arguments.site))?;
    let (store, vms) = (standins.store_server.address, standins.vm_server.address);
    let customers = CUSTOMERS.map(str::to_owned);
    let plans = plan_daemons(arguments.site, arguments.daemons, store, vms, &customers)?;
    register_daemons(&context, &plans)?;
    std::fs::create_dir_all(&arguments.folder)?;
    for plan in &plans {
        std::fs::write(arguments.folder.join(format!("{}.yaml", plan.name)), &plan.settings)?;
    }
    let addresses: Vec<String> = plans.iter().map(|plan| plan.listen.to_string()).collect();
    let environment = format!(
        "export TEASELCROFT_DAEMONS={}\nexport TEASELCROFT_KEY={OPERATOR_KEY}\nexport CUSTOMER_KEY={}\n",
        addresses.join(","),
        customer_key(CUSTOMERS[0])
    );
    std::fs::write(arguments.folder.join("environment"), environment)?;
    println!("the stand-ins are running; settings are in {}", arguments.folder.display());
    std::thread::sleep(std::time::Duration::from_secs(arguments.seconds));
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("local-platform: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
